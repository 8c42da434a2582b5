#include <pollenstream/adapters/http/client_pool.hpp>

#include <algorithm>
#include <system_error>

namespace pollenstream::adapters::http
{

namespace
{

using web::http::client::http_client;
using web::http::client::http_client_config;

auto uri_of( core::address const& to ) -> std::string
{
    return "http://" + core::to_string( to );
}

auto code_of( std::error_code const& status ) -> core::error_code
{
    // The library reports both a refused connection and a dead host as "host
    // unreachable", before anything was sent.
    if ( status == std::errc::host_unreachable ||
         status == std::errc::connection_refused )
        return core::error_code::unreachable;
    if ( status == std::errc::timed_out )
        return core::error_code::timed_out;
    return core::error_code::connection_lost;
}

}

client_pool::client_pool( core::duration timeout ) : timeout_( timeout ) {}

auto client_pool::client_for( core::address const& to )
    -> std::shared_ptr<http_client>
{
    auto const lock = std::scoped_lock( mutex_ );
    auto& pooled = clients_[to];
    if ( !pooled )
        pooled = fresh_client( to, timeout_ );
    return pooled;
}

auto client_pool::drop( core::address const& to ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    clients_.erase( to );
}

auto client_pool::size() const -> std::size_t
{
    auto const lock = std::scoped_lock( mutex_ );
    return clients_.size();
}

auto fresh_client( core::address const& to, core::duration timeout )
    -> std::shared_ptr<http_client>
{
    auto config = http_client_config{};
    config.set_timeout( std::max( core::duration( 1 ), timeout ) );
    return std::make_shared<http_client>( uri_of( to ), config );
}

auto error_of( std::exception_ptr const& failure ) -> core::error
{
    try
    {
        std::rethrow_exception( failure );
    }
    catch ( web::http::http_exception const& e )
    {
        return { code_of( e.error_code() ), e.what() };
    }
    catch ( pplx::task_canceled const& )
    {
        return { core::error_code::connection_lost, "cancelled" };
    }
    catch ( std::exception const& e )
    {
        return { core::error_code::connection_lost, e.what() };
    }
}

}
