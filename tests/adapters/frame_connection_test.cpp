#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/thrift/frame_connection.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>
#include <string>

using namespace tests;
namespace net = asio::net;
namespace thrift = pollenstream::adapters::thrift;

// The connection of another instance whose call cannot be worked on.

namespace
{

/// Fails on each call.
class failing_server : public thrift::frame_server
{
public:
    auto work_on( std::shared_ptr<thrift::frame_connection> /*connection*/,
                  std::shared_ptr<std::string> /*call*/ ) -> void override
    {
        throw std::runtime_error( "thrown by a test" );
    }
    auto forget( std::shared_ptr<thrift::frame_connection> const& /*which*/ )
        -> void override
    {
        ++forgotten;
    }

    int forgotten{ 0 };
};

/// Both ends of a connection on loopback.
struct socket_pair
{
    explicit socket_pair( net::io_context& io ) : ours( io ), theirs( io )
    {
        auto const loopback = net::ip::address_v4::loopback();
        auto acceptor = asio::tcp::acceptor( io, { loopback, 0 } );
        theirs.connect( acceptor.local_endpoint() );
        acceptor.accept( ours );
    }

    asio::tcp::socket ours;
    asio::tcp::socket theirs;
};

}

TEST_CASE( "a connection whose handler throws is closed", "[frame_connection]" )
{
    net::io_context io;
    auto sockets = socket_pair( io );
    auto server = failing_server{};
    auto const connection = std::make_shared<thrift::frame_connection>(
        server, std::move( sockets.ours ), nullptr, nullptr );
    connection->start();
    net::write( sockets.theirs, net::buffer( std::string( "\0\0\0\1x", 5 ) ) );
    CHECK_NOTHROW( run_until( io,
                              [&]
                              {
                                  return server.forgotten > 0;
                              } ) );
    CHECK( server.forgotten == 1 );
    auto ec = asio::error_code{};
    auto byte = char{};
    sockets.theirs.non_blocking( true );
    sockets.theirs.read_some( net::buffer( &byte, 1 ), ec );
    CHECK( ec != net::error::would_block );
    CHECK( ec );
}
