#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;

// Guards against an interim answer that is taken for the answer, or for a cut
// one.

TEST_CASE( "the gateway's client waits for the answer behind interim ones",
           "[http_client][interim]" )
{
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, std::size_t{ 1024 } );
    for ( auto const* const interim :
          { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" } )
    {
        INFO( interim );
        auto server = tcp_peer( io );
        server.answer_with( std::string( interim ) + interim +
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" );
        auto call = asio::http_call{};
        call.address = server.address();
        call.pool = core::to_string( call.address );
        call.text =
            std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
        auto body = std::optional<std::string>{};
        client.fetch( std::move( call ), 5s,
                      [&]( auto reply )
                      {
                          body = reply.has_value() ? reply.value().body
                                                   : "an error";
                      } );
        run_until( io,
                   [&]
                   {
                       return body.has_value();
                   } );
        CHECK( body == "ok" );
    }
}

TEST_CASE( "an answer to a HEAD request has no body, whatever it announces",
           "[http_client][interim]" )
{
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, std::size_t{ 1024 } );
    auto server = tcp_peer( io );
    server.answer_with( "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = core::to_string( call.address );
    call.text =
        std::make_shared<std::string const>( "HEAD / HTTP/1.1\r\n\r\n" );
    call.is_head_request = true;
    auto status = 0;
    client.fetch( std::move( call ), 5s,
                  [&]( auto reply )
                  {
                      status = reply.has_value() ? reply.value().status : -1;
                  } );
    run_until( io,
               [&]
               {
                   return status != 0;
               } );
    CHECK( status == 200 );
}
