#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/http/engine_http_client.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>
#include <pollenstream/adapters/http/store_http_client.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace ports = pollenstream::ports;

// Guards against heads, chunk headers and interim answers without end at the
// clients of the daemon: only the call ends, and its memory is bounded.

namespace
{

/// A head has 16 KiB at most, interim answers 256 KiB; the rest is for the
/// kernel's buffers.
constexpr auto max_growth = std::size_t{ 16 } * 1024 * 1024;

struct endless_bytes
{
    std::string name;
    std::string first;
    std::string repeated;
};

auto repeat( std::string const& text ) -> std::string
{
    constexpr auto times = 2048;
    auto all = std::string{};
    for ( auto i = 0; i < times; ++i )
        all += text;
    return all;
}

auto endless_ways() -> std::vector<endless_bytes>
{
    auto const ok = std::string( "HTTP/1.1 200 OK\r\n" );
    auto const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    auto const field = std::string( "X-Field: value\r\n" );
    return {
        { "a status line", "HTTP/1.1 200 ", repeat( "x" ) },
        { "one field", ok + "X-Field: ", repeat( "x" ) },
        { "many fields", ok, repeat( field ) },
        { "a chunk extension", chunked + "4;", repeat( "x" ) },
        { "a trailer", chunked + "0\r\n", repeat( field ) },
        { "interim answers", "", repeat( "HTTP/1.1 102 Processing\r\n\r\n" ) },
        { "one interim answer",
          "HTTP/1.1 102 Processing\r\nX-Field: ", repeat( "x" ) },
    };
}

/// Makes a call to a server that sends without end. `call` reports whether the
/// call failed.
template <class Call>
auto check_call( endless_bytes const& way, Call const& call ) -> void
{
    INFO( way.name );
    auto io = asio::net::io_context{};
    auto server = tcp_peer( io );
    server.answer_without_end( way.first, way.repeated );
    auto const before = resident_bytes();
    auto failed = std::async( std::launch::async,
                              [&]
                              {
                                  return call( server.address() );
                              } );
    run_until( io,
               [&]
               {
                   return failed.wait_for( 0s ) == std::future_status::ready;
               } );
    REQUIRE( failed.wait_for( 0s ) == std::future_status::ready );
    CHECK( failed.get() );
    CHECK( resident_bytes() < before + max_growth );
}

/// Reports the end of a stream to whoever waits for it.
class awaited_stream : public ports::stream_listener
{
public:
    auto on_events( std::vector<ports::engine_event> const& ) -> void override
    {
    }
    auto on_end( core::result<void> status ) -> void override
    {
        has_failed.set_value( status.has_error() );
    }

    std::promise<bool> has_failed;
};

auto call_service( core::address const& to ) -> core::result<int>
{
    auto client = http::service_http_client();
    auto call = ports::service_call{};
    call.method = "GET";
    call.path = "/";
    call.time_left = 60s;
    auto status = std::promise<core::result<int>>{};
    client.call( to, call,
                 [&]( core::result<ports::service_reply> const& reply )
                 {
                     if ( reply )
                         status.set_value( reply.value().status );
                     else
                         status.set_value( reply.error() );
                 } );
    return status.get_future().get();
}

}

TEST_CASE( "a plain service whose head does not end fails its call alone",
           "[daemon][endless]" )
{
    for ( auto const& way : endless_ways() )
        check_call( way,
                    []( core::address const& to )
                    {
                        return call_service( to ).has_error();
                    } );
}

TEST_CASE( "an engine whose head does not end ends its stream alone",
           "[daemon][endless]" )
{
    for ( auto const& way : endless_ways() )
        check_call( way,
                    []( core::address const& to )
                    {
                        auto client = http::engine_http_client();
                        auto const stream = std::make_shared<awaited_stream>();
                        auto request = ports::engine_request{};
                        request.prompt =
                            std::make_shared<std::string const>( "p" );
                        auto const open = client.open(
                            { core::target_id( "e" ), to }, request, stream );
                        return stream->has_failed.get_future().get();
                    } );
}

TEST_CASE( "an engine's reply to a reservation whose head does not end is an "
           "error",
           "[daemon][endless]" )
{
    for ( auto const& way : endless_ways() )
        check_call( way,
                    []( core::address const& to )
                    {
                        auto client = http::engine_http_client();
                        auto failed = std::promise<bool>{};
                        client.reserve( { core::target_id( "e" ), to }, {},
                                        [&]( core::result<void> const& r )
                                        {
                                            failed.set_value( r.has_error() );
                                        } );
                        return failed.get_future().get();
                    } );
}

TEST_CASE( "an instance list whose head does not end is an error",
           "[daemon][endless]" )
{
    for ( auto const& way : endless_ways() )
        check_call( way,
                    []( core::address const& to )
                    {
                        auto client = http::list_http_client( to );
                        return client.fetch().has_error();
                    } );
}

TEST_CASE( "a store whose head does not end is an error", "[daemon][endless]" )
{
    for ( auto const& way : endless_ways() )
        check_call( way,
                    []( core::address const& to )
                    {
                        auto client = http::store_http_client( to );
                        return client.get( "key" ).has_error();
                    } );
}

TEST_CASE( "the daemon waits for the answer behind interim ones",
           "[daemon][interim]" )
{
    for ( auto const* const interim :
          { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" } )
    {
        INFO( interim );
        auto io = asio::net::io_context{};
        auto service = tcp_peer( io );
        service.answer_with(
            std::string( interim ) + interim +
            "HTTP/1.1 203 Fine\r\nContent-Length: 2\r\n\r\nok" );
        auto status = std::async( std::launch::async,
                                  [&]
                                  {
                                      return call_service( service.address() );
                                  } );
        run_until( io,
                   [&]
                   {
                       return status.wait_for( 0s ) ==
                              std::future_status::ready;
                   } );
        auto const found = status.get();
        REQUIRE( found );
        CHECK( found.value() == 203 );
    }
}
