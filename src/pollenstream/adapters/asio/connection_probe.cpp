#include <pollenstream/adapters/asio/connection_probe.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace pollenstream::adapters::asio
{

namespace
{

/// A probe succeeds if the connection stays open this long. Anything else that
/// accepts connections in place of a process that has ended closes them at
/// once.
constexpr auto probe_hold_time =
    core::duration( std::chrono::milliseconds( 40 ) );

/// Opens a connection to find out whether a process listens at an address.
class connection_probe : public std::enable_shared_from_this<connection_probe>
{
public:
    using done = std::function<void( std::optional<bool> )>;

    connection_probe( net::io_context& io, done callback )
        : socket_( io ), timer_( io ), callback_( std::move( callback ) )
    {
    }
    auto start( core::address const& address, core::duration limit ) -> void
    {
        socket_.async_connect( endpoint_of( address ),
                               [self = shared_from_this()]( error_code ec )
                               {
                                   self->on_connected( ec );
                               } );
        timer_.expires_after( limit );
        timer_.async_wait(
            [self = shared_from_this()]( error_code ec )
            {
                if ( !ec )
                    self->on_limit();
            } );
    }

private:
    /// If this process was stopped meanwhile, the limit may pass together with
    /// the result, and its handler can no longer be cancelled.
    auto on_limit() -> void
    {
        if ( !is_connected_ )
            finish( std::nullopt );
    }
    auto on_connected( error_code ec ) -> void
    {
        auto const refused = ec == net::error::connection_refused ||
                             ec == net::error::connection_reset;
        if ( ec )
            return finish( refused ? std::optional( false ) : std::nullopt );
        is_connected_ = true;
        timer_.expires_after( probe_hold_time );
        timer_.async_wait(
            [self = shared_from_this()]( error_code e )
            {
                if ( !e )
                    self->finish( true );
            } );
        socket_.async_read_some(
            net::buffer( unexpected_byte_ ),
            [self = shared_from_this()]( error_code e, std::size_t )
            {
                self->finish( !e );
            } );
    }
    auto finish( std::optional<bool> listens ) -> void
    {
        auto const callback = std::exchange( callback_, nullptr );
        timer_.cancel();
        auto ec = error_code{};
        socket_.close( ec );
        if ( callback )
            callback( listens );
    }

    tcp::socket socket_;
    net::steady_timer timer_;
    done callback_;
    bool is_connected_{ false };
    /// The probe sends nothing, so no byte is expected.
    std::array<char, 1> unexpected_byte_{};
};

}

auto probe_connection( net::io_context& io,
                       core::address const& address,
                       core::duration limit,
                       std::function<void( std::optional<bool> )> callback )
    -> void
{
    std::make_shared<connection_probe>( io, std::move( callback ) )
        ->start( address, limit );
}

}
