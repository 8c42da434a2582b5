#include "support/recorded_call.hpp"
#include "support/tcp_peer.hpp"
#include "support/upload_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

// Guards against part of an answer that is taken for all of it, because its
// connection was lost while the request was still being written: over real
// connections.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 1 } * 1024 * 1024;
constexpr auto without_length = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr auto with_length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
constexpr auto too_short = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart";
constexpr auto with_chunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\npart\r\n0\r\n\r\n";
constexpr auto without_last_chunk =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

/// One large upload to a server that answers before it has read it.
struct upload_fixture
{
    explicit upload_fixture( std::string answer )
        : server( io, std::move( answer ) )
    {
    }

    auto start( core::duration silence = 20s ) -> void
    {
        auto call = asio::http_call{};
        call.address = server.address();
        call.pool = "p";
        call.silence = silence;
        call.text = std::make_shared<std::string const>(
            "POST / HTTP/1.1\r\nContent-Length: " +
            std::to_string( large_upload_bytes ) + "\r\n\r\n" );
        call.body =
            std::make_shared<std::string const>( large_upload_bytes, 'u' );
        open = client.send( std::move( call ), answer );
    }
    auto wait_for_part() -> void
    {
        run_until( io,
                   [&]
                   {
                       return answer->body == "part" || answer->end;
                   } );
        REQUIRE( answer->body == "part" );
    }
    auto wait_for_end() -> void
    {
        run_until( io,
                   [&]
                   {
                       return answer->end.has_value();
                   } );
        REQUIRE( answer->end );
    }

    asio::net::io_context io;
    asio::http_client client{ io, max_reply_memory };
    upload_peer server;
    std::shared_ptr<recorded_call> answer{ std::make_shared<recorded_call>() };
    std::shared_ptr<exchange::open_attempt> open;
};

}

TEST_CASE( "a connection that is reset beside the upload ends no answer",
           "[http_client][upload]" )
{
    auto const* const bytes =
        GENERATE( without_length, too_short, without_last_chunk );
    auto f = upload_fixture( bytes );
    f.start();
    f.wait_for_part();
    SECTION( "the server resets it" )
    {
        f.server.reset();
    }
    SECTION( "the server closes it with the upload unread" )
    {
        f.server.close();
    }
    f.wait_for_end();
    CHECK_FALSE( f.answer->end->complete );
    CHECK( f.answer->end->sent );
    CHECK( f.answer->end->error.code == core::error_code::connection_lost );
}

TEST_CASE( "an answer that is read later is not whole if its upload is reset",
           "[http_client][upload]" )
{
    auto f = upload_fixture( without_length );
    f.start();
    f.wait_for_part();
    f.open->pause();
    f.server.reset();
    f.io.run_for( 50ms );
    f.open->resume();
    f.wait_for_end();
    CHECK_FALSE( f.answer->end->complete );
}

TEST_CASE( "an answer that is not read fails at once if its upload is reset",
           "[http_client][upload]" )
{
    auto f = upload_fixture( without_length );
    f.start();
    f.wait_for_part();
    f.open->pause();
    f.server.reset();
    f.wait_for_end();
    CHECK_FALSE( f.answer->end->complete );
    CHECK( f.answer->end->error.code == core::error_code::connection_lost );
}

TEST_CASE( "a connection that the kernel gives up ends no answer",
           "[http_client][upload]" )
{
    auto f = upload_fixture( without_length );
    f.start( 300ms );
    f.wait_for_part();
    f.wait_for_end();
    CHECK_FALSE( f.answer->end->complete );
    CHECK( f.answer->end->error.code == core::error_code::timed_out );
}

TEST_CASE( "an answer that ends before its upload is whole",
           "[http_client][upload]" )
{
    SECTION( "with a length or chunks, though the connection is reset then" )
    {
        auto const* const bytes = GENERATE( with_length, with_chunks );
        auto f = upload_fixture( bytes );
        f.start();
        run_until( f.io,
                   [&]
                   {
                       return f.server.answers() > 0;
                   } );
        f.server.reset();
        f.wait_for_end();
        CHECK( f.answer->end->complete );
        CHECK( f.answer->body == "part" );
    }
    SECTION( "in an orderly way, before the server reads the upload" )
    {
        auto f = upload_fixture( without_length );
        f.start();
        f.wait_for_part();
        f.server.finish();
        f.wait_for_end();
        CHECK( f.answer->end->complete );
        CHECK( f.answer->end->is_delimited_by_close );
        CHECK( f.answer->body == "part" );
    }
    SECTION( "in an orderly way, and is reset before it is read" )
    {
        auto f = upload_fixture( without_length );
        f.start();
        f.wait_for_part();
        f.open->pause();
        f.server.finish();
        f.io.run_for( 50ms );
        f.server.reset();
        f.io.run_for( 50ms );
        f.open->resume();
        f.wait_for_end();
        CHECK( f.answer->end->complete );
        CHECK( f.answer->end->is_delimited_by_close );
    }
}

namespace
{

/// Stops reading as soon as some of the body has arrived, as one does that has
/// no memory for more.
class pausing_call : public recorded_call
{
public:
    auto on_body( std::string bytes ) -> void override
    {
        recorded_call::on_body( std::move( bytes ) );
        open->pause();
    }

    std::shared_ptr<exchange::open_attempt> open;
};

/// An upload whose answer is read no further than its first part.
struct paused_fixture : upload_fixture
{
    explicit paused_fixture( std::string bytes )
        : upload_fixture( std::move( bytes ) )
    {
        answer = paused;
    }
    auto start_and_pause( core::duration silence = 20s ) -> void
    {
        start( silence );
        paused->open = open;
        wait_for_part();
    }

    std::shared_ptr<pausing_call> paused{ std::make_shared<pausing_call>() };
};

}

TEST_CASE( "an answer whose reading has stopped fails at once if it is reset",
           "[http_client][upload][paused]" )
{
    auto f = paused_fixture( without_length );
    f.start_and_pause();
    f.server.reset();
    f.wait_for_end();
    CHECK_FALSE( f.answer->end->complete );
    CHECK( f.answer->end->error.code == core::error_code::connection_lost );
}

TEST_CASE( "an answer that has ended is whole though its upload is reset later",
           "[http_client][upload][paused]" )
{
    auto f = paused_fixture( without_length );
    f.start_and_pause();
    f.server.finish();
    f.io.run_for( 50ms );
    f.server.reset();
    f.io.run_for( 50ms );
    CHECK_FALSE( f.answer->end );
    f.open->resume();
    f.wait_for_end();
    CHECK( f.answer->end->complete );
}

TEST_CASE( "an answer that has ended is whole though its upload is given up",
           "[http_client][upload][paused]" )
{
    auto f = paused_fixture( without_length );
    f.start_and_pause( 300ms );
    f.server.finish();
    f.io.run_for( 2s );
    CHECK_FALSE( f.answer->end );
    f.open->resume();
    f.wait_for_end();
    CHECK( f.answer->end->complete );
}
