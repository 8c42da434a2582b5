#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>
#include <pollenstream/adapters/system/asio_timer.hpp>
#include <pollenstream/adapters/system/blocking_pool.hpp>
#include <pollenstream/adapters/system/steady_clock.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace ports = pollenstream::ports;
namespace system_adapters = pollenstream::adapters::system;

namespace
{

auto nested( int depth ) -> std::string
{
    auto const count = static_cast<std::size_t>( depth );
    return std::string( count, '[' ) + std::string( count, ']' );
}

auto http_answer( std::string const& body ) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string( body.size() ) + "\r\n\r\n" + body;
}

/// Runs the event loop on a thread, for clients that block.
class loop_thread
{
public:
    explicit loop_thread( asio::net::io_context& io )
        : io_( io ), thread_(
                         [&io]
                         {
                             io.run();
                         } )
    {
    }
    loop_thread( loop_thread const& ) = delete;
    auto operator=( loop_thread const& ) -> loop_thread& = delete;
    ~loop_thread()
    {
        io_.stop();
        thread_.join();
    }

private:
    asio::net::io_context& io_;
    std::thread thread_;
};

}

// Guards against one odd entry after which the daemon follows no other.
TEST_CASE( "an odd entry in the instance list is left out alone",
           "[daemon][list]" )
{
    auto const odd = GENERATE(
        std::string( R"({"id":"x","service":"s","address":"10.0.0.1:70000"})" ),
        R"({"id":"x","service":"s","address":"10.0.0.1:8","more":)" +
            nested( 5'000 ) + "}",
        nested( 64 ), nested( 200'000 ), std::string( "7" ),
        std::string( "1e400" ), std::string( "123456789012345678901234567890" ),
        std::string( "null" ),
        std::string( R"({"service":"s","address":"10.0.0.1:8"})" ),
        std::string( R"({"id":"x","service":"s","address":"10.0.0.1:8",)"
                     R"("state":"odd"})" ),
        std::string( R"({"id":7,"service":"s","address":"10.0.0.1:8"})" ) );
    auto const sound =
        std::string( R"({"id":"sound","service":"s","address":"10.0.0.2:8"})" );
    auto io = asio::net::io_context{};
    auto server = tcp_peer( io );
    server.answer_with( http_answer( R"({"instances":[)" + odd +
                                     R"(],"targets":[)" + odd + "," + sound +
                                     "]}" ) );
    auto const running = loop_thread( io );
    auto client = http::list_http_client( server.address() );
    auto const listing = client.fetch();
    INFO( odd.substr( 0, 80 ) );
    REQUIRE( listing.has_value() );
    REQUIRE( listing.value() );
    REQUIRE_FALSE( listing.value()->targets.empty() );
    CHECK( listing.value()->targets.back().id.str() == "sound" );
    CHECK( listing.value()->instances.empty() );
    CHECK_FALSE( listing.value()->unusable.empty() );
}

TEST_CASE( "values that are nested too deep are replaced alone",
           "[daemon][list]" )
{
    auto const text = R"({"a":)" + nested( 64 ) + R"(,"b":"[[\\\"[","c":1})";
    CHECK( http::without_deep_values( R"({"b":"[[\"[","c":[1]})" ) ==
           R"({"b":"[[\"[","c":[1]})" );
    auto const json = http::parse_json( http::without_deep_values( text ) );
    REQUIRE( json );
    CHECK( json.value().at( "c" ).as_integer() == 1 );
}

// Guards against a part of an answer that is passed on as the whole.
TEST_CASE( "a success without a length counts while its service listens",
           "[daemon][service]" )
{
    auto const is_success = GENERATE( true, false );
    auto const head = std::string( is_success ? "HTTP/1.1 200 OK\r\n"
                                              : "HTTP/1.1 500 Failed\r\n" );
    auto io = asio::net::io_context{};
    auto acceptor =
        asio::tcp::acceptor( io, { asio::net::ip::address_v4::loopback(), 0 } );
    auto const port = acceptor.local_endpoint().port();
    auto const still_listens = GENERATE( true, false );
    auto service = std::thread(
        [&]
        {
            auto socket = acceptor.accept();
            auto request = std::string( 4'096, ' ' );
            socket.read_some( asio::net::buffer( request ) );
            if ( !still_listens )
                acceptor.close();
            asio::net::write( socket, asio::net::buffer( head + "\r\npart" ) );
            socket.shutdown( asio::tcp::socket::shutdown_both );
        } );
    auto client = http::service_http_client{};
    auto request = ports::service_call{};
    request.method = "GET";
    request.path = "/";
    request.time_left = 4s;
    auto ended = std::promise<core::result<ports::service_reply>>{};
    client.call( { "127.0.0.1", port }, request,
                 [&]( auto reply )
                 {
                     ended.set_value( std::move( reply ) );
                 } );
    auto const reply = ended.get_future().get();
    service.join();
    CHECK( reply.has_value() == ( still_listens || !is_success ) );
    if ( reply )
        CHECK( reply.value().body == "part" );
}

TEST_CASE( "an answer that is cut in or behind its head is no answer",
           "[daemon][service]" )
{
    auto const* const bytes = GENERATE(
        "", "HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: te",
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" );
    auto io = asio::net::io_context{};
    auto acceptor =
        asio::tcp::acceptor( io, { asio::net::ip::address_v4::loopback(), 0 } );
    auto const port = acceptor.local_endpoint().port();
    auto service = std::thread(
        [&]
        {
            auto socket = acceptor.accept();
            auto request = std::string( 4'096, ' ' );
            socket.read_some( asio::net::buffer( request ) );
            asio::net::write( socket,
                              asio::net::buffer( std::string( bytes ) ) );
            socket.shutdown( asio::tcp::socket::shutdown_both );
        } );
    auto client = http::service_http_client{};
    auto request = ports::service_call{};
    request.method = "GET";
    request.path = "/";
    request.time_left = 4s;
    auto ended = std::promise<core::result<ports::service_reply>>{};
    client.call( { "127.0.0.1", port }, request,
                 [&]( auto reply )
                 {
                     ended.set_value( std::move( reply ) );
                 } );
    auto const reply = ended.get_future().get();
    service.join();
    INFO( bytes );
    CHECK_FALSE( reply.has_value() );
}

TEST_CASE( "a timer or blocking work that throws does not end the process",
           "[daemon][exception]" )
{
    auto const fail = []
    {
        throw std::runtime_error( "test" );
    };
    auto timer_done = std::promise<void>{};
    auto work_done = std::promise<void>{};
    auto const clock = system_adapters::steady_clock{};
    auto timer = system_adapters::asio_timer( clock );
    timer.at( clock.now(), fail );
    timer.at( clock.now() + 20ms,
              [&]
              {
                  timer_done.set_value();
              } );
    auto pool = system_adapters::blocking_pool( 1 );
    pool.post( fail );
    pool.post(
        [&]
        {
            work_done.set_value();
        } );
    CHECK( timer_done.get_future().wait_for( 5s ) ==
           std::future_status::ready );
    CHECK( work_done.get_future().wait_for( 5s ) == std::future_status::ready );
}
