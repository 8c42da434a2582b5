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

/// One HTTP client, with its kept connections, for each address.
class client_pool
{
public:
    /// `timeout` bounds the silence on a connection during a call.
    explicit client_pool( core::duration timeout );

    auto client_for( core::address const& to )
        -> std::shared_ptr<web::http::client::http_client>;

    /// Forgets the kept connections to `to`, which may have gone silent.
    auto drop( core::address const& to ) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    core::duration timeout_;
    mutable std::mutex mutex_;
    std::map<core::address, std::shared_ptr<web::http::client::http_client>>
        clients_;
};

/// A client with no kept connections: what it meets is of this call alone.
auto fresh_client( core::address const& to, core::duration timeout )
    -> std::shared_ptr<web::http::client::http_client>;

/// What an exception of the HTTP client proves. Only a connection that was
/// never made proves that nothing ran.
auto error_of( std::exception_ptr const& failure ) -> core::error;

}

#endif
