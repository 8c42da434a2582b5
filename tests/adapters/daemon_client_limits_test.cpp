#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/http/engine_http_client.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace ports = pollenstream::ports;

// Guards against bodies without end at the clients of the daemon, whose event
// loops run on threads of their own: only the call ends, not the process.

namespace
{

/// Bodies are collected up to 16 MiB; the rest is for the kernel's buffers.
constexpr auto max_growth = std::size_t{ 96 } * 1024 * 1024;
constexpr auto endless_head = "HTTP/1.1 200 OK\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";

auto endless_chunks() -> std::string
{
    constexpr auto size = std::size_t{ 0x4000 };
    return "4000\r\n" + std::string( size, 'x' ) + "\r\n";
}

/// Records how a stream ended.
class recorded_stream : public ports::stream_listener
{
public:
    auto on_events( std::vector<ports::engine_event> const& ) -> void override
    {
    }
    auto on_end( core::result<void> status ) -> void override
    {
        has_failed = status.has_error();
        ended = true;
    }

    std::atomic<bool> ended{ false };
    std::atomic<bool> has_failed{ false };
};

}

TEST_CASE( "an engine whose event does not end ends its stream alone",
           "[daemon][endless]" )
{
    auto io = asio::net::io_context{};
    auto engine = tcp_peer( io );
    engine.answer_without_end( endless_head, endless_chunks() );
    auto const before = resident_bytes();
    auto client = http::engine_http_client();
    auto const stream = std::make_shared<recorded_stream>();
    auto const to =
        ports::engine_endpoint{ core::target_id( "e" ), engine.address() };
    auto request = ports::engine_request{};
    request.prompt = std::make_shared<std::string const>( "prompt" );
    auto const open = client.open( to, request, stream );
    run_until( io,
               [&]
               {
                   return stream->ended.load();
               } );
    CHECK( stream->ended );
    CHECK( stream->has_failed );
    CHECK( resident_bytes() < before + max_growth );
}

TEST_CASE( "a plain service whose body does not end fails its call alone",
           "[daemon][endless]" )
{
    auto io = asio::net::io_context{};
    auto service = tcp_peer( io );
    service.answer_without_end( endless_head, endless_chunks() );
    auto const before = resident_bytes();
    auto client = http::service_http_client();
    auto call = ports::service_call{};
    call.method = "GET";
    call.path = "/";
    call.time_left = 60s;
    auto failed = std::atomic<bool>{ false };
    client.call( service.address(), call,
                 [&]( auto const& reply )
                 {
                     failed = reply.has_error();
                 } );
    run_until( io,
               [&]
               {
                   return failed.load();
               } );
    CHECK( failed );
    CHECK( resident_bytes() < before + max_growth );
}

TEST_CASE( "an instance list that does not end is an error",
           "[daemon][endless]" )
{
    auto io = asio::net::io_context{};
    auto list = tcp_peer( io );
    list.answer_without_end( endless_head, endless_chunks() );
    auto const before = resident_bytes();
    auto client = http::list_http_client( list.address() );
    auto fetched = std::async( std::launch::async,
                               [&]
                               {
                                   return client.fetch().has_error();
                               } );
    run_until( io,
               [&]
               {
                   return fetched.wait_for( 0s ) == std::future_status::ready;
               } );
    CHECK( fetched.get() );
    CHECK( resident_bytes() < before + max_growth );
}
