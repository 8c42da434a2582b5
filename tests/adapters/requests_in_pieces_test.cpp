#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

// Guards against a caller's request that is rejected because the network
// delivered it in other pieces than usual.

namespace
{

/// Answers each request with its body, and notes its fields.
class echo_handler : public asio::request_handler
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
        fields = request.fields;
        answer->send_whole( { 200, {}, request.body } );
        return nullptr;
    }

    exchange::header_list fields;
};

/// What a listener answers to a request that arrives in two pieces.
auto answer_to_pieces( echo_handler& handler,
                       std::string const& first,
                       std::string const& second ) -> std::string
{
    constexpr auto pause = 3ms;
    auto io = asio::net::io_context{};
    auto const listener =
        asio::caller_listener( io, { "127.0.0.1", 0 }, handler );
    auto socket = asio::tcp::socket( io );
    socket.connect(
        { asio::net::ip::address_v4::loopback(), listener.address().port } );
    asio::net::write( socket, asio::net::buffer( first ) );
    io.run_for( pause );
    asio::net::write( socket, asio::net::buffer( second ) );
    auto received = std::array<char, 1024>{};
    auto answer = std::string{};
    socket.async_read_some( asio::net::buffer( received ),
                            [&]( asio::error_code, std::size_t count )
                            {
                                answer.assign( received.data(), count );
                            } );
    run_until( io,
               [&]
               {
                   return !answer.empty();
               } );
    return answer;
}

}

TEST_CASE( "a request is whole in whichever pieces it arrives",
           "[caller_listener][pieces]" )
{
    for ( auto const* const text :
          { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n" } )
    {
        auto const request = std::string( text );
        for ( auto at = std::size_t{ 1 }; at < request.size(); ++at )
        {
            INFO( request << " cut at " << at );
            auto handler = echo_handler{};
            auto const answer = answer_to_pieces(
                handler, request.substr( 0, at ), request.substr( at ) );
            CHECK_THAT( answer, Catch::StartsWith( "HTTP/1.1 200" ) );
            CHECK_THAT( answer, Catch::EndsWith( "body" ) );
        }
    }
}

TEST_CASE( "a trailer is not handed on with the head",
           "[caller_listener][pieces]" )
{
    auto handler = echo_handler{};
    auto const head = std::string( "POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n" );
    auto const body = std::string( "4\r\nbody\r\n0\r\nX-Late: value\r\n\r\n" );
    auto const at = GENERATE( std::size_t{ 0 }, std::size_t{ 9 } );
    CHECK_THAT( answer_to_pieces( handler, head + body.substr( 0, at ),
                                  body.substr( at ) ),
                Catch::EndsWith( "body" ) );
    auto names = std::vector<std::string>{};
    for ( auto const& field : handler.fields )
        names.push_back( field.name );
    CHECK_THAT( names, Catch::Equals( std::vector<std::string>{
                           "Host", "Transfer-Encoding" } ) );
}
