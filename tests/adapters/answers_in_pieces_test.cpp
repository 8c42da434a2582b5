#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;

// Guards against an answer that is rejected because the network delivered it in
// other pieces than usual: no instance got a configuration after a restart.

namespace
{

/// What a client makes of an answer that arrives in two pieces; an error's
/// detail if it is one.
auto fetch_in_pieces( std::string const& first, std::string const& second )
    -> std::string
{
    auto io = asio::net::io_context{};
    auto client = asio::http_client( io, std::size_t{ 1024 } );
    auto server = tcp_peer( io );
    server.answer_in_pieces( first, second );
    auto call = asio::http_call{};
    call.address = server.address();
    call.pool = core::to_string( call.address );
    call.text = std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
    auto found = std::optional<std::string>{};
    client.fetch( std::move( call ), 5s,
                  [&]( auto reply )
                  {
                      found = reply.has_value() ? reply.value().body
                                                : reply.error().detail;
                  } );
    run_until( io,
               [&]
               {
                   return found.has_value();
               } );
    return found.value_or( "nothing" );
}

}

TEST_CASE( "an answer is whole in whichever pieces it arrives",
           "[http_client][pieces]" )
{
    for ( auto const* const text :
          { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n"
            "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nbody" } )
    {
        auto const answer = std::string( text );
        for ( auto at = std::size_t{ 1 }; at < answer.size(); ++at )
        {
            INFO( answer << " cut at " << at );
            CHECK( fetch_in_pieces( answer.substr( 0, at ),
                                    answer.substr( at ) ) == "body" );
        }
    }
}
