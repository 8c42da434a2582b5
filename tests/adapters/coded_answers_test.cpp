#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/http/service_http_client.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <exchange_headers.hpp>
#include <optional>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace ports = pollenstream::ports;

// Guards against a coded body that reaches a caller without the field that
// names its coding.

namespace
{

auto answer_with( std::string const& status, std::string const& fields )
    -> std::string
{
    return "HTTP/1.1 " + status + " X\r\n" + fields +
           "Content-Length: 4\r\n\r\nbody";
}

/// What a caller of the daemon gets of a plain service that answers so.
auto call_service_answered_with( std::string bytes )
    -> core::result<ports::service_reply>
{
    auto io = asio::net::io_context{};
    auto service = tcp_peer( io );
    service.answer_with( std::move( bytes ) );
    auto client = http::service_http_client();
    auto call = ports::service_call{};
    call.method = "GET";
    call.path = "/";
    call.time_left = 20s;
    auto result = std::optional<core::result<ports::service_reply>>{};
    auto ended = std::atomic( false );
    client.call( service.address(), call,
                 [&]( auto const& reply )
                 {
                     result.emplace( reply );
                     ended = true;
                 } );
    run_until( io,
               [&]
               {
                   return ended.load();
               } );
    REQUIRE( ended );
    return *result;
}

}

TEST_CASE( "a coded body of a plain service is not passed on",
           "[daemon][broken][content_coding]" )
{
    auto const status = GENERATE( as<std::string>{}, "200", "404", "500" );
    auto const fields =
        GENERATE( as<std::string>{}, "Content-Encoding: gzip\r\n",
                  "content-encoding: identity, gzip\r\n",
                  "Content-Encoding: gzip\r\nContent-Encoding: identity\r\n" );
    INFO( status << fields );
    auto const reply =
        call_service_answered_with( answer_with( status, fields ) );
    REQUIRE( reply.has_error() );
    CHECK_FALSE( core::proves_not_run( reply.error().code ) );
}

TEST_CASE( "a body of a plain service that is not coded is passed on",
           "[daemon][broken][content_coding]" )
{
    auto const fields =
        GENERATE( as<std::string>{}, "", "Content-Encoding: identity\r\n",
                  "Content-Encoding:  Identity \r\n" );
    auto const reply =
        call_service_answered_with( answer_with( "200", fields ) );
    REQUIRE( reply.has_value() );
    CHECK( reply.value().body == "body" );
}
