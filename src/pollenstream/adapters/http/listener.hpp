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

/// A request whose body, if it has one, has been read whole.
struct received_request
{
    web::http::http_request message;
    std::vector<std::string> path; ///< decoded parts of the path
    std::string body;

    /// Value of a header, or nothing where it is absent.
    [[nodiscard]] auto header( std::string const& name ) const -> std::string;
    /// Value of a query parameter, decoded, or nothing.
    [[nodiscard]] auto query( std::string const& name ) const -> std::string;
};

/// A method and the first parts of a path, with what handles them.
struct route
{
    web::http::method method; ///< empty: any
    std::vector<std::string> prefix;
    bool takes_more{ false }; ///< further parts may follow the prefix
    std::function<void( received_request )> handle;
};

/// Listens on one address and hands requests to routes. Bodies are bounded;
/// what no route takes, is too large or cannot be read is refused.
class listener
{
public:
    listener( core::address const& at,
              std::size_t largest_body,
              std::vector<route> routes );
    ~listener();
    listener( listener const& ) = delete;
    auto operator=( listener const& ) -> listener& = delete;

    auto open() -> void;
    auto close() -> void;

private:
    auto receive( web::http::http_request message ) -> void;
    auto dispatch( received_request request ) -> void;

    std::size_t largest_body_;
    std::vector<route> routes_;
    web::http::experimental::listener::http_listener listener_;
    bool is_open_{ false };
};

}

#endif
