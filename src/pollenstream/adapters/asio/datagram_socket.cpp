#include <pollenstream/adapters/asio/datagram_socket.hpp>

#include <exception>
#include <utility>

namespace pollenstream::adapters::asio
{

datagram_socket::datagram_socket( net::io_context& io, core::address at )
    : at_( std::move( at ) ), socket_( io )
{
}

auto datagram_socket::open() -> error_code
{
    auto ec = error_code{};
    auto const endpoint =
        udp::endpoint( net::ip::make_address( at_.ip, ec ), at_.port );
    if ( !ec )
        socket_.open( endpoint.protocol(), ec );
    if ( !ec )
        socket_.non_blocking( true, ec );
    if ( !ec )
        socket_.bind( endpoint, ec );
    auto ignored = error_code{};
    if ( ec )
        socket_.close( ignored );
    return ec;
}

auto datagram_socket::start( receiver handler ) -> void
{
    receiver_ = std::move( handler );
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
        receiver_( bytes, from_.address().to_string() );
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
        socket_.send_to( net::buffer( bytes ),
                         udp::endpoint( address, at_.port ), 0, ec );
    // Lost datagrams are not resent: the next complete message replaces them.
    if ( ec )
        send_errors_.add();
}

}
