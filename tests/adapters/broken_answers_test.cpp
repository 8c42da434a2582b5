#include "support/recorded_call.hpp"
#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace tests;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

// Guards against answers that are none and are passed on, taken for another
// one, or waited for: over real connections, which the server leaves open.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 1 } * 1024 * 1024;
/// What a server may send behind a broken answer.
constexpr auto sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// Sends one request to a server that answers with `bytes`.
auto call_answered_with( std::string bytes ) -> std::shared_ptr<recorded_call>
{
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto server = tcp_peer( io );
    server.answer_with( std::move( bytes ) );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = "p";
    call.text = std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
    auto answer = std::make_shared<recorded_call>();
    client.send( std::move( call ), answer );
    run_until( io,
               [&]
               {
                   return answer->end.has_value();
               } );
    return answer;
}

/// Nothing of the answer has been passed on, and its call has failed.
auto check_is_broken( recorded_call const& answer ) -> void
{
    CHECK_FALSE( answer.head );
    CHECK( answer.body.empty() );
    REQUIRE( answer.end );
    CHECK_FALSE( answer.end->complete );
    CHECK( answer.end->sent );
    CHECK( answer.end->error.code == core::error_code::malformed );
}

auto with_status( std::string const& status ) -> std::string
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody";
}

}

TEST_CASE( "a status that is none breaks the answer",
           "[http_client][broken][status]" )
{
    auto const status =
        GENERATE( as<std::string>{}, "000", "001", "099", "600", "999" );
    INFO( status );
    SECTION( "alone" )
    {
        check_is_broken( *call_answered_with( with_status( status ) ) );
    }
    SECTION( "without a body" )
    {
        check_is_broken(
            *call_answered_with( "HTTP/1.1 " + status + " X\r\n\r\n" ) );
    }
    SECTION( "with an answer behind it, which does not count" )
    {
        check_is_broken( *call_answered_with( with_status( status ) + sound ) );
    }
    SECTION( "behind an interim answer" )
    {
        check_is_broken( *call_answered_with( "HTTP/1.1 100 Continue\r\n\r\n" +
                                              with_status( status ) ) );
    }
}

TEST_CASE( "each status from 200 to 599 is passed on",
           "[http_client][broken][status]" )
{
    auto const status =
        GENERATE( as<std::string>{}, "200", "299", "404", "500", "599" );
    auto const answer = call_answered_with( with_status( status ) );
    REQUIRE( answer->head );
    CHECK( std::to_string( answer->head->status ) == status );
    REQUIRE( answer->end );
    CHECK( answer->end->complete );
}

TEST_CASE( "a transfer coding that was not asked for breaks the answer",
           "[http_client][broken][coding]" )
{
    auto const fields = GENERATE(
        as<std::string>{}, "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip\r\n"
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\n"
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked;level=1\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: \r\n" );
    INFO( fields );
    SECTION( "with chunks" )
    {
        check_is_broken( *call_answered_with( "HTTP/1.1 200 OK\r\n" + fields +
                                              "\r\n4\r\nbody\r\n0\r\n\r\n" ) );
    }
    SECTION( "with a length" )
    {
        check_is_broken(
            *call_answered_with( "HTTP/1.1 200 OK\r\n" + fields +
                                 "Content-Length: 4\r\n\r\nbody" ) );
    }
    SECTION( "of a failure" )
    {
        check_is_broken( *call_answered_with( "HTTP/1.1 500 X\r\n" + fields +
                                              "\r\n4\r\nbody\r\n0\r\n\r\n" ) );
    }
}

TEST_CASE( "chunks are read in each way in which they are allowed",
           "[http_client][broken][coding]" )
{
    auto const coding =
        GENERATE( as<std::string>{}, "chunked", "Chunked", "  chunked\t" );
    auto const body = GENERATE( as<std::string>{}, "4\r\nbody\r\n0\r\n\r\n",
                                "2;x=\"y\"\r\nbo\r\n02\r\ndy\r\n0\r\n\r\n",
                                "4\r\nbody\r\n0\r\nX-Trailer: value\r\n\r\n" );
    auto const answer = call_answered_with(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding + "\r\n\r\n" + body );
    REQUIRE( answer->end );
    CHECK( answer->end->complete );
    CHECK( answer->body == "body" );
}

TEST_CASE( "a field whose name is none breaks the answer",
           "[http_client][broken][fields]" )
{
    auto const line = GENERATE(
        as<std::string>{}, "X Field: value", "X-Field : value",
        "X-Field\t: value", " X-Field: value", "\tX-Field: value",
        std::string( "X-\0Field: value", 15 ),
        "X-\x01"
        "Field: value",
        "X-\x0b"
        "Field: value",
        "X-\x1f"
        "Field: value",
        "X-\x7f"
        "Field: value",
        "X-\xc3\xa4: value", ": value", "X-Field", "X(Field): value",
        "X-Field: a\x01"
        "b",
        std::string( "X-Field: a\0b", 12 ),
        "X-Field: a\x7f"
        "b",
        "X-Field: a\rb", "Content-Length : 4", "Content-Length\t: 4",
        "Transfer-Encoding : chunked", "Content-Length: 5",
        "Content-Length: -4", "Content-Length: +4", "Content-Length: 4x",
        "Content-Length: 4, 5", "Transfer-Encoding: chunked" );
    INFO( line );
    SECTION( "before the length" )
    {
        check_is_broken( *call_answered_with(
            "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody" +
            sound ) );
    }
    SECTION( "behind the length" )
    {
        check_is_broken(
            *call_answered_with( "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" +
                                 line + "\r\n\r\nbody" + sound ) );
    }
    SECTION( "in an interim answer" )
    {
        check_is_broken( *call_answered_with( "HTTP/1.1 103 Early Hints\r\n" +
                                              line +
                                              "\r\nContent-Length: 4"
                                              "\r\n\r\n" +
                                              sound ) );
    }
}

TEST_CASE( "a name of a field may have each sign that is allowed",
           "[http_client][broken][fields]" )
{
    auto const name =
        GENERATE( as<std::string>{}, "!#$%&'*+-.^_`|~09azAZ", "x", "1" );
    auto const answer = call_answered_with(
        "HTTP/1.1 200 OK\r\n" + name +
        ":\t value of\xc3\xa4 it \r\nContent-Length: 4\r\n\r\nbody" );
    REQUIRE( answer->end );
    CHECK( answer->end->complete );
    REQUIRE( answer->head );
    CHECK( answer->head->fields.at( 0 ).name == name );
    CHECK( answer->head->fields.at( 0 ).value == "value of\xc3\xa4 it" );
}

TEST_CASE( "a status line that is none breaks the answer",
           "[http_client][broken][status_line]" )
{
    auto const line = GENERATE(
        as<std::string>{}, "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
        "HTTP/9.1 200 OK", "ICY 200 OK", "http/1.1 200 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
        "HTTP/11 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK",
        std::string( "HTTP/1.1 200 O\0K", 16 ) );
    INFO( line );
    check_is_broken( *call_answered_with(
        line + "\r\nContent-Length: 4\r\n\r\nbody" + sound ) );
}

TEST_CASE( "a status line may lack its reason, or be one of HTTP/1.0",
           "[http_client][broken][status_line]" )
{
    auto const line =
        GENERATE( as<std::string>{}, "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
                  "HTTP/1.1 200 all \xc3\xa4" );
    auto const answer =
        call_answered_with( line + "\r\nContent-Length: 4\r\n\r\nbody" );
    REQUIRE( answer->end );
    CHECK( answer->end->complete );
    CHECK( answer->body == "body" );
}
