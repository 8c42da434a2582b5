#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/datagram_socket.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
namespace net = asio::net;

// Guards against an exception of one handler that ends the process, and with it
// everybody's requests: it ends one connection, or one datagram.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 4 } * 1024 * 1024;
constexpr auto sound_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
constexpr auto get_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Throws when the body arrives.
class throwing_listener : public asio::http_listener
{
public:
    auto on_head( asio::raw_head ) -> void override {}
    auto on_body( std::string ) -> void override
    {
        throw std::length_error( "thrown by a test" );
    }
    auto on_end( exchange::attempt_end end ) -> void override
    {
        ended = end.error.detail;
    }

    std::optional<std::string> ended;
};

/// Answers requests with bodies, and throws for those without.
class throwing_handler : public asio::request_handler
{
public:
    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        return {};
    }
    auto handle( asio::raw_request request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        if ( request.body.empty() )
            throw std::bad_alloc();
        answer->send_whole( { 200, {}, request.body } );
        return nullptr;
    }
};

/// Throws once, at the given look at the limits; a connection looks at them as
/// it is made and as it starts.
class throwing_at_begin : public throwing_handler
{
public:
    explicit throwing_at_begin( int look ) : looks_left_( look ) {}

    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        if ( --looks_left_ == 0 )
            throw std::bad_alloc();
        return {};
    }

private:
    mutable int looks_left_;
};

/// Sends `text` on a connection of its own; returns what it gets until the
/// connection ends or `size` bytes have come.
auto exchange_bytes( net::io_context& io,
                     core::address const& at,
                     std::string const& text,
                     std::size_t size ) -> std::string
{
    auto socket = asio::tcp::socket( io );
    socket.connect( { net::ip::make_address( at.ip ), at.port } );
    net::write( socket, net::buffer( text ) );
    auto bytes = std::string( size, '\0' );
    auto done = false;
    net::async_read( socket, net::buffer( bytes ),
                     [&]( auto, std::size_t n )
                     {
                         bytes.resize( n );
                         done = true;
                     } );
    run_until( io,
               [&]
               {
                   return done;
               } );
    return bytes;
}

}

TEST_CASE( "an exception while an answer is read ends its call alone",
           "[http_client][exception]" )
{
    auto io = net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto server = tcp_peer( io );
    server.answer_with( sound_answer );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = "test";
    call.text = std::make_shared<std::string const>( get_request );
    auto const throwing = std::make_shared<throwing_listener>();
    client.send( call, throwing );
    auto served = std::string{};
    client.fetch( call, 10s,
                  [&]( auto reply )
                  {
                      served = reply.has_value() ? reply.value().body : "";
                  } );
    run_until( io,
               [&]
               {
                   return throwing->ended && !served.empty();
               } );
    CHECK( throwing->ended == "thrown by a test" );
    CHECK( served == "sound" );
}

TEST_CASE( "an exception while a request is handled ends its connection alone",
           "[caller_listener][exception]" )
{
    auto io = net::io_context{};
    auto handler = throwing_handler{};
    auto listener = asio::caller_listener( io, { "127.0.0.1", 0 }, handler );
    auto const broken =
        exchange_bytes( io, listener.address(), get_request, 1 );
    CHECK( broken.empty() );
    CHECK( listener.broken() == 1 );
    CHECK( listener.connections() == 0 );
    auto const served = exchange_bytes(
        io, listener.address(),
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 15 );
    CHECK( served == "HTTP/1.1 200 OK" );
}

TEST_CASE( "a connection that cannot begin is closed and not counted",
           "[caller_listener][exception]" )
{
    auto io = net::io_context{};
    auto handler = throwing_at_begin( GENERATE( 1, 2 ) );
    auto listener = asio::caller_listener( io, { "127.0.0.1", 0 }, handler );
    auto const broken =
        exchange_bytes( io, listener.address(), get_request, 1 );
    CHECK( broken.empty() );
    CHECK( listener.broken() == 1 );
    CHECK( listener.connections() == 0 );
    auto const served = exchange_bytes(
        io, listener.address(),
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 15 );
    CHECK( served == "HTTP/1.1 200 OK" );
}

TEST_CASE( "an exception while a datagram is processed drops it alone",
           "[datagrams][exception]" )
{
    auto io = net::io_context{};
    constexpr auto ip = "127.0.0.1";
    auto free_port = asio::udp::socket(
        io, asio::udp::endpoint( net::ip::make_address( ip ), 0 ) );
    auto const port = free_port.local_endpoint().port();
    free_port.close();
    auto socket = asio::datagram_socket( io, { ip, port } );
    REQUIRE_FALSE( socket.open() );
    auto received = std::vector<std::string>{};
    socket.start(
        [&]( std::string_view bytes, std::string const& /*from*/ )
        {
            if ( bytes == "bad" )
                throw std::out_of_range( "thrown by a test" );
            received.emplace_back( bytes );
        } );
    for ( auto const* text : { "one", "bad", "two" } )
        socket.send( ip, text );
    run_until( io,
               [&]
               {
                   return received.size() == 2;
               } );
    CHECK( received == std::vector<std::string>{ "one", "two" } );
    CHECK( socket.dropped() == 1 );
}
