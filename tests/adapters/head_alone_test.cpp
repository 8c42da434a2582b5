#include "support/tcp_peer.hpp"
#include "support/upload_peer.hpp"
#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/engine_http_client.hpp>
#include <pollenstream/adapters/http/store_http_client.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <registry_records.hpp>
#include <store_client.hpp>
#include <target_calls.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
namespace http = pollenstream::adapters::http;
namespace platform = pollenstream::platform;
namespace ports = pollenstream::ports;

// Guards against a success without length or chunks whose connection ends
// behind the head, and which is taken for an empty answer: at those who collect
// short replies and don't need their body.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 1 } * 1024 * 1024;
constexpr auto head_alone = "HTTP/1.1 200 OK\r\nX-Field: value\r\n\r\n";
constexpr auto empty_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A server that ends each answer in an orderly way.
struct closing_server
{
    explicit closing_server( char const* answer ) : peer( io, answer ) {}

    /// Serves until `is_done` returns true.
    template <class Condition>
    auto serve_until( Condition is_done ) -> void
    {
        run_until( io,
                   [&]
                   {
                       if ( peer.answers() > 0 )
                           peer.finish();
                       return is_done();
                   } );
    }

    asio::net::io_context io;
    upload_peer peer;
};

/// Whether a call that reports a `core::result<void>` succeeded at a server
/// that answers so.
template <class Call>
auto succeeds( closing_server& server, Call call ) -> bool
{
    auto ended = std::atomic( false );
    auto has_succeeded = std::atomic( false );
    call(
        [&]( auto const& result )
        {
            has_succeeded = result.has_value();
            ended = true;
        } );
    server.serve_until(
        [&]
        {
            return ended.load();
        } );
    REQUIRE( ended );
    return has_succeeded;
}

}

TEST_CASE( "a head alone is no reply to a call of the gateway",
           "[http_client][broken][head_alone]" )
{
    auto const [answer, is_reply] = GENERATE( table<char const*, bool>(
        { { head_alone, false }, { empty_answer, true } } ) );
    auto server = closing_server( answer );
    auto client = asio::http_client( server.io, max_reply_memory );
    SECTION( "that reserves memory" )
    {
        auto calls = platform::reservation_calls( client );
        CHECK( succeeds( server,
                         [&]( auto done )
                         {
                             calls.reserve( { core::target_id( "t" ),
                                              server.peer.address(), 100 },
                                            core::reservation_id( "r" ), 1s,
                                            done );
                         } ) == is_reply );
    }
    SECTION( "that writes to the store" )
    {
        auto store = platform::store_client( client, server.peer.address(),
                                             platform::needed_records() );
        CHECK( succeeds( server,
                         [&]( auto done )
                         {
                             store.write( {}, ports::lease_id( 1 ), done );
                         } ) == is_reply );
    }
    SECTION( "that renews a lease" )
    {
        auto store = platform::store_client( client, server.peer.address(),
                                             platform::needed_records() );
        CHECK( succeeds( server,
                         [&]( auto done )
                         {
                             store.renew_lease( ports::lease_id( 1 ), done );
                         } ) == is_reply );
    }
}

TEST_CASE( "a head alone is no reply to a call of the daemon",
           "[daemon][broken][head_alone]" )
{
    auto const [answer, is_reply] = GENERATE( table<char const*, bool>(
        { { head_alone, false }, { empty_answer, true } } ) );
    auto server = closing_server( answer );
    auto client = http::engine_http_client();
    auto const engine =
        ports::engine_endpoint{ core::target_id( "e" ), server.peer.address() };
    SECTION( "that reserves memory" )
    {
        CHECK( succeeds( server,
                         [&]( auto done )
                         {
                             client.reserve( engine, {}, done );
                         } ) == is_reply );
    }
    SECTION( "that fills a span" )
    {
        CHECK( succeeds( server,
                         [&]( auto done )
                         {
                             client.fill_span(
                                 engine, core::reservation_id( "r" ),
                                 core::token_count( 1 ), 5s, done );
                         } ) == is_reply );
    }
}

TEST_CASE( "an answer without a length that has a body is collected",
           "[http_client][broken][head_alone]" )
{
    auto server = closing_server( "HTTP/1.1 200 OK\r\n\r\nbody" );
    auto const client = http::call_client( 5s );
    auto body = std::string{};
    auto ended = std::atomic( false );
    client.collect( server.peer.address(), {},
                    [&]( auto const& collected )
                    {
                        body = collected ? collected.value().body : "an error";
                        ended = true;
                    } );
    server.serve_until(
        [&]
        {
            return ended.load();
        } );
    CHECK( body == "body" );
}
