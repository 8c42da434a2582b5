#include "tcp_peer.hpp"

#include <array>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace tests
{

namespace
{

using pollenstream::adapters::asio::error_code;
using tcp = pollenstream::adapters::asio::tcp;
namespace net = pollenstream::adapters::asio::net;

/// Long enough for the other side to read the first piece alone.
constexpr auto pause_between_pieces = std::chrono::milliseconds( 30 );

}

struct tcp_peer::state : std::enable_shared_from_this<tcp_peer::state>
{
    explicit state( net::io_context& io )
        : acceptor( io, { net::ip::address_v4::loopback(), 0 } ), pause( io )
    {
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
        socket->async_read_some(
            net::buffer( received ),
            [self = shared_from_this(), socket]( error_code ec, std::size_t )
            {
                if ( ec )
                    self->is_closed = true;
                else
                    self->send( socket, self->next_answer() );
            } );
    }

    auto send( std::shared_ptr<tcp::socket> const& socket,
               std::string const& bytes ) -> void
    {
        net::async_write(
            *socket, net::buffer( bytes ),
            [self = shared_from_this(), socket]( error_code ec, std::size_t n )
            {
                self->sent_bytes += n;
                if ( ec )
                    self->is_closed = true;
                else if ( !self->second_piece.empty() )
                    self->send_later( socket,
                                      std::exchange( self->second_piece, {} ) );
                else if ( self->repeated.empty() )
                    self->receive( socket );
                else
                    self->send( socket, self->repeated );
            } );
    }

    auto send_later( std::shared_ptr<tcp::socket> const& socket,
                     std::string bytes ) -> void
    {
        first = std::move( bytes );
        pause.expires_after( pause_between_pieces );
        pause.async_wait(
            [self = shared_from_this(), socket]( error_code ec )
            {
                if ( !ec )
                    self->send( socket, self->first );
            } );
    }

    auto next_answer() -> std::string const&
    {
        if ( !in_turn.empty() )
        {
            first = in_turn.front();
            in_turn.erase( in_turn.begin() );
        }
        return first;
    }

    tcp::acceptor acceptor;
    net::steady_timer pause;
    std::vector<std::string> in_turn;
    std::array<char, 4096> received{};
    std::string first;
    std::string second_piece;
    std::string repeated;
    std::size_t sent_bytes{ 0 };
    bool is_closed{ false };
};

tcp_peer::tcp_peer( net::io_context& io )
    : state_( std::make_shared<state>( io ) )
{
    state_->accept();
}

tcp_peer::~tcp_peer()
{
    auto ec = error_code{};
    state_->acceptor.close( ec );
}

auto tcp_peer::answer_with( std::string bytes ) -> void
{
    state_->first = std::move( bytes );
}

auto tcp_peer::answer_in_pieces( std::string first, std::string second ) -> void
{
    state_->first = std::move( first );
    state_->second_piece = std::move( second );
}

auto tcp_peer::answer_in_turn( std::vector<std::string> answers ) -> void
{
    state_->in_turn = std::move( answers );
}

auto tcp_peer::answer_without_end( std::string first, std::string repeated )
    -> void
{
    state_->first = std::move( first );
    state_->repeated = std::move( repeated );
}

auto tcp_peer::address() const -> pollenstream::core::address
{
    auto const at = state_->acceptor.local_endpoint();
    return { at.address().to_string(), at.port() };
}

auto tcp_peer::sent_bytes() const -> std::size_t
{
    return state_->sent_bytes;
}

auto tcp_peer::is_closed() const -> bool
{
    return state_->is_closed;
}

auto resident_bytes() -> std::size_t
{
    auto total_pages = std::size_t{ 0 };
    auto resident_pages = std::size_t{ 0 };
    std::ifstream( "/proc/self/statm" ) >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>( ::getpagesize() );
}

}
