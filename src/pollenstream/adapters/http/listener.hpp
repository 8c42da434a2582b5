#ifndef POLLENSTREAM_ADAPTERS_HTTP_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_LISTENER_HPP

#include <pollenstream/core/address.hpp>

#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::adapters::http
{

/// A request whose body, if any, has been read completely.
struct received_request
{
    web::http::http_request message;
    std::vector<std::string> path; ///< decoded path segments
    std::string body;

    /// Returns the value of a header, or an empty string.
    [[nodiscard]] auto header( std::string const& name ) const -> std::string;
    /// Returns the decoded value of a query parameter, or an empty string.
    [[nodiscard]] auto query( std::string const& name ) const -> std::string;
};

/// Maps a method and a path prefix to a handler.
struct route
{
    web::http::method method; ///< empty: any method
    std::vector<std::string> prefix;
    bool allows_subpaths{ false }; ///< further segments may follow the prefix
    std::function<void( received_request )> handle;
};

/// Listens on one address and dispatches requests to routes. Refuses requests
/// that match no route, exceed the body limit or cannot be read.
class listener
{
public:
    listener( core::address const& at,
              std::size_t max_body_size,
              std::vector<route> routes );
    ~listener();
    listener( listener const& ) = delete;
    auto operator=( listener const& ) -> listener& = delete;

    /// Throws if the address is in use or is not there; may be tried again.
    auto open() -> void;
    auto close() -> void;

private:
    using library_listener = web::http::experimental::listener::http_listener;

    auto receive( web::http::http_request message ) -> void;
    auto dispatch( received_request request ) -> void;

    core::address at_;
    std::size_t max_body_size_;
    std::vector<route> routes_;
    std::unique_ptr<library_listener> listener_; ///< null if not open
};

}

#endif
