#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

// Guards against servers that send without end until the client closes, or that
// announce more than fits into memory: over real connections.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 4 } * 1024 * 1024;
/// Bytes that the kernel may buffer on a loopback connection.
constexpr auto kernel_buffers = std::size_t{ 16 } * 1024 * 1024;
constexpr auto status_line = "HTTP/1.1 200 OK\r\n";
constexpr auto chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

auto repeated( std::string const& text, std::size_t times ) -> std::string
{
    auto all = std::string{};
    for ( auto i = std::size_t{ 0 }; i < times; ++i )
        all += text;
    return all;
}

auto call_to( tcp_peer const& server ) -> asio::http_call
{
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = core::to_string( call.address );
    call.text = std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
    call.max_reply_bytes = std::size_t{ 1 } * 1024 * 1024;
    return call;
}

struct endless_case
{
    char const* name;
    std::string first;
    std::string repeated;
};

auto endless_cases() -> std::vector<endless_case>
{
    constexpr auto times = std::size_t{ 1'000 };
    return {
        { "a head of one line", status_line + std::string( "X: " ),
          std::string( times, 'x' ) },
        { "a head of many lines", status_line,
          repeated( "X-Field: value\r\n", times ) },
        { "a status line", "", std::string( times, 'x' ) },
        { "a body without length", status_line + std::string( "\r\n" ),
          std::string( times, 'x' ) },
        { "a body of chunks", chunked_head,
          repeated( "4\r\nbody\r\n", times ) },
        { "a chunk header", chunked_head + std::string( "4;" ),
          std::string( times, 'x' ) },
        { "a trailer", chunked_head + std::string( "0\r\n" ),
          repeated( "X-Field: value\r\n", times ) },
        { "interim answers", "",
          repeated( "HTTP/1.1 100 Continue\r\n\r\n", times ) },
        { "answers to another request", "",
          repeated( "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 4\r\n\r\n"
                    "body",
                    times ) },
    };
}

}

TEST_CASE( "a server that sends without end ends its call alone",
           "[http_client][endless]" )
{
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto sound = tcp_peer( io );
    sound.answer_with( "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound" );
    for ( auto const& each : endless_cases() )
    {
        INFO( each.name );
        auto endless = tcp_peer( io );
        endless.answer_without_end( each.first, each.repeated );
        auto call = call_to( endless );
        call.accepts_head = []( auto const& head, auto )
        {
            return head.fields.empty() || head.fields[0].name != "X-Other";
        };
        auto ended = std::optional<core::error>{};
        client.fetch( std::move( call ), 20s,
                      [&]( auto reply )
                      {
                          REQUIRE( reply.has_error() );
                          ended = reply.error();
                      } );
        auto served = std::string{};
        client.fetch( call_to( sound ), 20s,
                      [&]( auto reply )
                      {
                          served = reply.has_value() ? reply.value().body : "";
                      } );
        run_until( io,
                   [&]
                   {
                       return ended && endless.is_closed() && !served.empty();
                   } );
        REQUIRE( ended );
        CHECK( ended->code == core::error_code::malformed );
        CHECK( endless.is_closed() );
        CHECK( endless.sent_bytes() < kernel_buffers );
        CHECK( served == "sound" );
    }
}

TEST_CASE( "memory stays flat while many servers send without end",
           "[http_client][endless]" )
{
    constexpr auto rounds = 40;
    constexpr auto max_growth = std::size_t{ 32 } * 1024 * 1024;
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto const before = resident_bytes();
    auto peak = before;
    for ( auto i = 0; i < rounds; ++i )
        for ( auto const& each : endless_cases() )
        {
            auto endless = tcp_peer( io );
            endless.answer_without_end( each.first, each.repeated );
            auto ended = false;
            client.fetch( call_to( endless ), 20s,
                          [&]( auto )
                          {
                              ended = true;
                          } );
            run_until( io,
                       [&]
                       {
                           peak = std::max( peak, resident_bytes() );
                           return ended;
                       } );
            REQUIRE( ended );
        }
    CHECK( peak - before < max_growth );
}

TEST_CASE( "the length that a head announces takes no memory",
           "[http_client][endless]" )
{
    auto const length = GENERATE( as<std::string>{}, "1125899906842624",
                                  "18446744073709551615", "4294967296" );
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto server = tcp_peer( io );
    server.answer_with( "HTTP/1.1 200 OK\r\nContent-Length: " + length +
                        "\r\n\r\nsome bytes" );
    auto ended = std::optional<core::error>{};
    client.fetch( call_to( server ), 20s,
                  [&]( auto reply )
                  {
                      REQUIRE( reply.has_error() );
                      ended = reply.error();
                  } );
    run_until( io,
               [&]
               {
                   return ended.has_value();
               } );
    REQUIRE( ended );
    CHECK( ended->code == core::error_code::malformed );
}

TEST_CASE( "a connection is closed when its request is cancelled",
           "[http_client][endless]" )
{
    class ignored_answer : public asio::http_listener
    {
    public:
        auto on_head( asio::raw_head ) -> void override
        {
            has_head = true;
        }
        auto on_body( std::string ) -> void override {}
        auto on_end( exchange::attempt_end ) -> void override {}

        bool has_head{ false };
    };
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, max_reply_memory );
    auto server = tcp_peer( io );
    server.answer_without_end( status_line + std::string( "\r\n" ),
                               std::string( 1'000, 'x' ) );
    auto const listener = std::make_shared<ignored_answer>();
    auto const call = client.send( call_to( server ), listener );
    run_until( io,
               [&]
               {
                   return listener->has_head;
               } );
    call->cancel();
    run_until( io,
               [&]
               {
                   return server.is_closed();
               } );
    CHECK( server.is_closed() );
}
