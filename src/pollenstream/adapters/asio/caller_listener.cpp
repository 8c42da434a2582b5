#include <pollenstream/adapters/asio/caller_connection.hpp>
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/socket_options.hpp>

#include <exception>
#include <utility>
#include <vector>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Delay after a failed accept, which usually means that the process has no
/// free file descriptors.
constexpr auto accept_retry_delay = core::duration( 20ms );
constexpr auto status_unavailable = 503;

}

auto request_handler::needs_body( raw_request const& /*head*/ ) const -> bool
{
    return true;
}

auto request_handler::refuse_unread( raw_request const& /*head*/ )
    -> exchange::whole_answer
{
    return { status_unavailable, {}, "no memory\n" };
}

caller_listener::caller_listener( net::io_context& io,
                                  request_handler& handler,
                                  std::shared_ptr<connection_accounts> accounts,
                                  std::shared_ptr<unsent_answers> unsent )
    : io_( io ), handler_( handler ), accounts_( std::move( accounts ) ),
      unsent_( std::move( unsent ) ), acceptor_( io ), accept_retry_timer_( io )
{
}

caller_listener::caller_listener( net::io_context& io,
                                  core::address const& at,
                                  request_handler& handler,
                                  std::shared_ptr<connection_accounts> accounts,
                                  std::shared_ptr<unsent_answers> unsent )
    : caller_listener( io, handler, std::move( accounts ), std::move( unsent ) )
{
    auto const ec = open( at );
    if ( ec )
        throw boost::system::system_error( ec, core::to_string( at ) );
}

caller_listener::~caller_listener() = default;

auto caller_listener::address() const -> core::address
{
    auto const at = acceptor_.local_endpoint();
    return { at.address().to_string(), at.port() };
}

auto caller_listener::open( core::address const& at ) -> error_code
{
    auto const endpoint = endpoint_of( at );
    auto ec = error_code{};
    acceptor_.open( endpoint.protocol(), ec );
    if ( !ec )
        acceptor_.set_option( net::socket_base::reuse_address( true ), ec );
    if ( !ec )
        acceptor_.bind( endpoint, ec );
    if ( !ec )
        acceptor_.listen( net::socket_base::max_listen_connections, ec );
    if ( ec )
        stop_accepting();
    else
        accept();
    return ec;
}

auto caller_listener::accept() -> void
{
    acceptor_.async_accept(
        [this]( error_code ec, tcp::socket socket )
        {
            if ( !acceptor_.is_open() )
                return;
            if ( ec )
                return retry_accept_later();
            begin_connection( std::move( socket ) );
            accept();
        } );
}

/// A connection that cannot begin is closed. It does not keep others from being
/// accepted.
auto caller_listener::begin_connection( tcp::socket socket ) -> void
{
    auto connection = std::shared_ptr<caller_connection>{};
    if ( accounts_ && !accounts_->admit() )
        return;
    try
    {
        connection =
            std::make_shared<caller_connection>( *this, std::move( socket ) );
        connections_.insert( connection );
        connection->start();
    }
    catch ( std::exception const& )
    {
        connections_.erase( connection );
        broken_.add();
    }
}

auto caller_listener::retry_accept_later() -> void
{
    accept_retry_timer_.expires_after( accept_retry_delay );
    accept_retry_timer_.async_wait(
        [this]( error_code ec )
        {
            if ( !ec )
                accept();
        } );
}

auto caller_listener::begin_drain() -> void
{
    draining_ = true;
}

auto caller_listener::close_idle() -> void
{
    auto const all = std::vector( connections_.begin(), connections_.end() );
    for ( auto const& connection : all )
        if ( connection->is_idle() )
            connection->finish();
}

auto caller_listener::close_all() -> void
{
    stop_accepting();
    accept_retry_timer_.cancel();
    auto const all = std::vector( connections_.begin(), connections_.end() );
    for ( auto const& connection : all )
        connection->give_descriptor_back();
}

auto caller_listener::stop_accepting() -> void
{
    auto ec = error_code{};
    acceptor_.close( ec );
}

}
