#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace tests;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
namespace net = asio::net;

// Guards against memory that is kept for callers after their answer is whole.

namespace
{

constexpr auto answer_bytes = std::size_t{ 1 } << 20U;
constexpr auto callers = 40;
constexpr auto status_ok = 200;

/// Answers each request at once with a long body.
class long_answers : public asio::request_handler
{
public:
    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        return {};
    }
    [[nodiscard]] auto makes_long_answers() const -> bool override
    {
        return true;
    }
    auto handle( asio::raw_request /*request*/,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        ++answered;
        answer->send_whole(
            { status_ok, {}, std::string( answer_bytes, 'a' ) } );
        return nullptr;
    }

    int answered{ 0 };
};

struct answers_fixture
{
    /// `max_connections`: any number if it is zero.
    explicit answers_fixture( std::size_t memory_bytes = 8 * answer_bytes,
                              std::size_t max_connections = 0 )
        : memory( std::make_shared<core::memory_budget>( memory_bytes ) ),
          accounts(
              max_connections == 0
                  ? nullptr
                  : std::make_shared<asio::connection_accounts>(
                        std::make_shared<core::memory_budget>( answer_bytes ),
                        max_connections ) )
    {
    }

    /// Asks on a connection of its own, which stays open, and reads the answer.
    auto ask_and_read() -> void
    {
        auto call = asio::http_call{};
        call.address = listener.address();
        call.pool = "caller " + std::to_string( ++calls );
        call.text = std::make_shared<std::string const>(
            "GET /x HTTP/1.1\r\nHost: h\r\n\r\n" );
        call.max_reply_bytes = 2 * answer_bytes;
        client.fetch( std::move( call ), std::chrono::seconds( 9 ),
                      [this]( auto reply )
                      {
                          read += reply.has_value() ? 1 : 0;
                      } );
    }

    /// Asks and never reads.
    auto ask_only() -> void
    {
        auto const at = listener.address();
        auto caller = std::make_unique<asio::tcp::socket>( io );
        caller->open( asio::tcp::v4() );
        caller->set_option( net::socket_base::receive_buffer_size( 4096 ) );
        caller->connect( asio::endpoint_of( at ) );
        net::write( *caller, net::buffer( std::string( "GET /x HTTP/1.1\r\n"
                                                       "Host: h\r\n\r\n" ) ) );
        silent.push_back( std::move( caller ) );
    }
    auto run_for( std::chrono::milliseconds time ) -> void
    {
        io.restart();
        io.run_for( time );
    }

    net::io_context io;
    long_answers handler;
    std::shared_ptr<core::memory_budget> memory;
    std::shared_ptr<asio::connection_accounts> accounts;
    std::shared_ptr<asio::unsent_answers> unsent{
        std::make_shared<asio::unsent_answers>( memory ) };
    asio::caller_listener listener{
        io, { "127.0.0.1", 0 }, handler, accounts, unsent };
    asio::http_client client{ io, 4 * answer_bytes };
    std::vector<std::unique_ptr<asio::tcp::socket>> silent;
    int calls{ 0 };
    int read{ 0 };
};

}

TEST_CASE( "an idle connection keeps no memory of its last answer",
           "[caller_listener][memory]" )
{
    auto f = answers_fixture{};
    auto const before = resident_bytes();
    for ( auto i = 0; i < callers; ++i )
    {
        f.ask_and_read();
        run_until( f.io,
                   [&]
                   {
                       return f.read == f.calls;
                   } );
    }
    REQUIRE( f.read == callers );
    CHECK( f.listener.connections() == callers );
    CHECK( resident_bytes() < before + callers / 4 * answer_bytes );
}

TEST_CASE( "answers that nobody reads stay within their memory",
           "[caller_listener][memory]" )
{
    constexpr auto pause = std::chrono::milliseconds( 40 );
    auto f = answers_fixture{};
    auto const before = resident_bytes();
    for ( auto i = 0; i < callers; ++i )
    {
        f.ask_only();
        f.run_for( pause );
    }
    CHECK( f.handler.answered == callers );
    CHECK( f.unsent->dropped() > 0 );
    CHECK( f.unsent->unsent_bytes() <= 10 * answer_bytes );
    CHECK( resident_bytes() < before + callers / 2 * answer_bytes );

    f.ask_and_read();
    run_until( f.io,
               [&]
               {
                   return f.read == 1;
               } );
    CHECK( f.read == 1 );

    f.silent.clear();
    run_until( f.io,
               [&]
               {
                   return f.memory->used_bytes() == 0;
               } );
    CHECK( f.memory->used_bytes() == 0 );
    CHECK( f.unsent->unsent_bytes() == 0 );
}

TEST_CASE( "a caller that reads slowly is not dropped for one that does not",
           "[caller_listener][memory]" )
{
    constexpr auto pause = std::chrono::milliseconds( 40 );
    constexpr auto piece_bytes = std::size_t{ 128 } * 1024;
    auto f = answers_fixture{};
    f.ask_only();
    auto const reader = std::move( f.silent.front() );
    f.silent.clear();
    auto piece = std::string( piece_bytes, ' ' );
    auto got = std::size_t{ 0 };
    auto ec = asio::error_code{};
    while ( got < answer_bytes && !ec )
    {
        f.ask_only();
        f.run_for( pause );
        got += reader->read_some( net::buffer( piece ), ec );
    }
    CHECK( f.unsent->dropped() > 0 );
    CHECK( got >= answer_bytes );
}

TEST_CASE( "a request is refused where answers have used up their memory",
           "[caller_listener][memory]" )
{
    auto f = answers_fixture{};
    for ( auto i = 0; i < callers; ++i )
        f.ask_only();
    run_until( f.io,
               [&]
               {
                   return f.silent.back()->available() > 0;
               } );
    CHECK( f.handler.answered < callers );
    CHECK( f.unsent->unsent_bytes() <= 10 * answer_bytes );
    auto start = std::string( 12, ' ' );
    net::read( *f.silent.back(), net::buffer( start ) );
    CHECK( start == "HTTP/1.1 503" );
}

TEST_CASE( "a caller that does not take its answer gives its place to another",
           "[caller_listener][descriptors]" )
{
    // Longer than the pause of a caller that is only slow.
    constexpr auto long_stall = std::chrono::milliseconds( 400 );
    constexpr auto places = 4;
    auto f = answers_fixture{ callers * answer_bytes, places };
    for ( auto i = 0; i < places; ++i )
        f.ask_only();
    f.run_for( long_stall );
    REQUIRE( f.handler.answered == places );
    REQUIRE( f.unsent->unsent_bytes() > 0 );

    f.ask_and_read();
    run_until( f.io,
               [&]
               {
                   return f.read == 1;
               } );
    CHECK( f.read == 1 );
    CHECK( f.accounts->gave_way() == 1 );
}
