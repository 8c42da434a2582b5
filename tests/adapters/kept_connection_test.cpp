#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

using namespace tests;
namespace exchange = pollenstream::exchange;

// Guards against bodies of ended requests that stay in memory, and in the
// budget for them, with connections that are kept for later calls.

namespace
{

class ended_listener : public asio::http_listener
{
public:
    auto on_head( asio::raw_head ) -> void override {}
    auto on_body( std::string bytes ) -> void override
    {
        received += bytes;
    }
    auto on_end( exchange::attempt_end end ) -> void override
    {
        ended = true;
        complete = end.complete;
    }

    std::string received;
    bool ended{ false };
    bool complete{ false };
};

}

TEST_CASE( "a kept connection does not hold the body of its last call",
           "[http_client][memory]" )
{
    auto io = asio::net::io_context{};
    auto server = tcp_peer( io );
    server.answer_with( "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" );
    auto client = asio::http_client( io, 1'000 );
    auto body = std::make_shared<std::string const>( "body" );
    auto const is_held = std::weak_ptr( body );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = "p";
    call.text = std::make_shared<std::string const>(
        "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n" );
    call.body = std::move( body );
    auto const listener = std::make_shared<ended_listener>();
    client.send( std::move( call ), listener );
    run_until( io,
               [&]
               {
                   return listener->ended;
               } );
    REQUIRE( listener->complete );
    CHECK_FALSE( server.is_closed() );
    CHECK( is_held.expired() );
}

TEST_CASE( "an answer that is paused is read on after it is resumed",
           "[http_client][memory]" )
{
    constexpr auto size = std::size_t{ 4 } << 20U;
    auto io = asio::net::io_context{};
    auto server = tcp_peer( io );
    server.answer_with(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string( size ) +
        "\r\n\r\n" + std::string( size, 'x' ) );
    auto client = asio::http_client( io, 1'000 );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = "p";
    call.text = std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
    auto const listener = std::make_shared<ended_listener>();
    auto const open = client.send( std::move( call ), listener );
    run_until( io,
               [&]
               {
                   return !listener->received.empty();
               } );
    open->pause();
    io.run_for( std::chrono::milliseconds( 50 ) );
    auto const paused_at = listener->received.size();
    io.run_for( std::chrono::milliseconds( 100 ) );
    CHECK( paused_at < size / 2 );
    CHECK( listener->received.size() == paused_at );
    open->resume();
    run_until( io,
               [&]
               {
                   return listener->ended;
               } );
    CHECK( listener->complete );
    CHECK( listener->received.size() == size );
}
