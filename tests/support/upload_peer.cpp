#include "upload_peer.hpp"

#include <array>
#include <utility>
#include <vector>

namespace tests
{

namespace
{

using pollenstream::adapters::asio::error_code;
using tcp = pollenstream::adapters::asio::tcp;
namespace net = pollenstream::adapters::asio::net;

/// Small, so that the upload waits in the client.
constexpr auto receive_buffer_bytes = 8 * 1024;

}

struct upload_peer::state : std::enable_shared_from_this<upload_peer::state>
{
    state( net::io_context& io, std::string bytes )
        : acceptor( io ), answer( std::move( bytes ) )
    {
        acceptor.open( tcp::v4() );
        // The connections inherit it.
        acceptor.set_option(
            net::socket_base::receive_buffer_size( receive_buffer_bytes ) );
        acceptor.bind( { net::ip::address_v4::loopback(), 0 } );
        acceptor.listen();
    }

    auto accept() -> void
    {
        acceptor.async_accept(
            [self = shared_from_this()]( error_code ec, tcp::socket socket )
            {
                if ( ec )
                    return;
                self->receive(
                    std::make_shared<tcp::socket>( std::move( socket ) ) );
                self->accept();
            } );
    }

    auto receive( std::shared_ptr<tcp::socket> const& socket ) -> void
    {
        sockets.push_back( socket );
        socket->async_read_some(
            net::buffer( received ),
            [self = shared_from_this(), socket]( error_code ec, std::size_t )
            {
                if ( !ec )
                    self->send( socket );
            } );
    }

    auto send( std::shared_ptr<tcp::socket> const& socket ) -> void
    {
        net::async_write(
            *socket, net::buffer( answer ),
            [self = shared_from_this(), socket]( error_code ec, std::size_t )
            {
                if ( !ec )
                    ++self->answers;
            } );
    }

    template <class Action>
    auto for_each_socket( Action action ) -> void
    {
        for ( auto const& socket : sockets )
            action( *socket );
    }

    tcp::acceptor acceptor;
    std::string answer;
    std::array<char, 1024> received{};
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::size_t answers{ 0 };
};

upload_peer::upload_peer( net::io_context& io, std::string answer )
    : state_( std::make_shared<state>( io, std::move( answer ) ) )
{
    state_->accept();
}

upload_peer::~upload_peer()
{
    auto ec = error_code{};
    state_->acceptor.close( ec );
    close();
}

auto upload_peer::address() const -> pollenstream::core::address
{
    auto const at = state_->acceptor.local_endpoint();
    return { at.address().to_string(), at.port() };
}

auto upload_peer::answers() const -> std::size_t
{
    return state_->answers;
}

auto upload_peer::reset() -> void
{
    state_->for_each_socket(
        []( tcp::socket& socket )
        {
            auto ec = error_code{};
            socket.set_option( net::socket_base::linger( true, 0 ), ec );
            socket.close( ec );
        } );
}

auto upload_peer::close() -> void
{
    state_->for_each_socket(
        []( tcp::socket& socket )
        {
            auto ec = error_code{};
            socket.close( ec );
        } );
}

auto upload_peer::finish() -> void
{
    state_->for_each_socket(
        []( tcp::socket& socket )
        {
            auto ec = error_code{};
            socket.shutdown( tcp::socket::shutdown_send, ec );
        } );
}

}
