#include <pollenstream/adapters/asio/datagram_socket.hpp>

#include <exception>

namespace pollenstream::adapters::asio
{

datagram_socket::datagram_socket( net::io_context& io, core::address const& at )
    : socket_( io, udp::endpoint( net::ip::make_address( at.ip ), at.port ) ),
      port_( at.port )
{
    socket_.non_blocking( true );
}

auto datagram_socket::start( std::function<void( std::string_view )> receiver )
    -> void
{
    receiver_ = std::move( receiver );
    receive();
}

auto datagram_socket::receive() -> void
{
    socket_.async_receive_from( net::buffer( buffer_ ), from_,
                                [this]( error_code ec, std::size_t n )
                                {
                                    if ( ec == net::error::operation_aborted )
                                        return;
                                    // Other errors concern datagrams sent
                                    // earlier, so receiving continues.
                                    if ( !ec )
                                        deliver( { buffer_.data(), n } );
                                    receive();
                                } );
}

/// A datagram that cannot be processed is dropped like a lost one.
auto datagram_socket::deliver( std::string_view bytes ) -> void
{
    try
    {
        receiver_( bytes );
    }
    catch ( std::exception const& )
    {
        dropped_.add();
    }
}

auto datagram_socket::send( std::string const& ip, std::string const& bytes )
    -> void
{
    auto ec = error_code{};
    auto const address = net::ip::make_address( ip, ec );
    if ( !ec )
        socket_.send_to( net::buffer( bytes ), udp::endpoint( address, port_ ),
                         0, ec );
    // Lost datagrams are not resent: the next complete message replaces them.
    if ( ec )
        send_errors_.add();
}

}
