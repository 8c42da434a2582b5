#ifndef POLLENSTREAM_ADAPTERS_HTTP_CLIENT_POOL_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CLIENT_POOL_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <cpprest/http_client.h>

#include <exception>
#include <map>
#include <memory>
#include <mutex>

namespace pollenstream::adapters::http
{

/// Holds one HTTP client, with its persistent connections, for each address.
class client_pool
{
public:
    /// `timeout` is the longest time that a connection may be idle during a
    /// call.
    explicit client_pool( core::duration timeout );

    auto client_for( core::address const& to )
        -> std::shared_ptr<web::http::client::http_client>;

    /// Discards the persistent connections to `to`, which may be dead.
    auto drop( core::address const& to ) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    core::duration timeout_;
    mutable std::mutex mutex_;
    std::map<core::address, std::shared_ptr<web::http::client::http_client>>
        clients_;
};

/// A client without persistent connections, so that a failure concerns this
/// call alone.
auto fresh_client( core::address const& to, core::duration timeout )
    -> std::shared_ptr<web::http::client::http_client>;

/// Converts an exception of the HTTP client to an error. Only `unreachable`, a
/// connection that was never established, proves that nothing ran.
auto error_of( std::exception_ptr const& failure ) -> core::error;

}

#endif
