#include <pollenstream/adapters/system/port_probe.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pollenstream::adapters::system
{

auto accepts_connections( core::address const& address, core::duration limit )
    -> bool
{
    using boost::asio::ip::tcp;
    auto status = boost::system::error_code{};
    auto const ip = boost::asio::ip::make_address( address.ip, status );
    if ( status )
        return false;
    auto loop = boost::asio::io_context{};
    auto socket = tcp::socket( loop );
    auto accepted = false;
    socket.async_connect( tcp::endpoint( ip, address.port ),
                          [&accepted]( boost::system::error_code const& ec )
                          {
                              accepted = !ec;
                          } );
    loop.run_for( limit );
    return accepted;
}

}
