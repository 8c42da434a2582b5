#ifndef POLLENSTREAM_ADAPTERS_HTTP_LISTENER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_LISTENER_HPP

#include <pollenstream/adapters/http/listening_loop.hpp>
#include <pollenstream/adapters/http/reply_channel.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/exchange/message.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::adapters::http
{

/// A request whose body, if any, has been read completely.
struct received_request
{
    std::string method;
    std::vector<std::string> path; ///< decoded path segments
    std::string query_text;        ///< percent-encoded
    exchange::header_list headers;
    std::string body;
    std::shared_ptr<reply_channel> reply;

    /// Returns the value of a header, or an empty string.
    [[nodiscard]] auto header( std::string const& name ) const -> std::string;
    /// Returns the decoded value of a query parameter, or an empty string.
    [[nodiscard]] auto query( std::string const& name ) const -> std::string;
};

/// Maps a method and a path prefix to a handler, which runs on one of the
/// threads for handlers.
struct route
{
    std::string method; ///< empty: any method
    std::vector<std::string> prefix;
    bool allows_subpaths{ false }; ///< further segments may follow the prefix
    std::function<void( received_request )> handle;
};

/// Listens on one address and dispatches requests to routes. Refuses requests
/// that match no route, exceed a limit or cannot be read. All that it keeps of
/// callers has a limit: of one head, of one body, and those of its loop on all
/// together.
class listener
{
public:
    /// `loop`: shared with other listeners; null for one of its own.
    listener( core::address const& at,
              std::size_t max_body_size,
              std::vector<route> routes,
              std::shared_ptr<listening_loop> loop = {} );
    ~listener();
    listener( listener const& ) = delete;
    auto operator=( listener const& ) -> listener& = delete;

    /// Throws if the address is in use or is not there; may be tried again.
    auto open() -> void;
    /// Accepts nothing more and closes, once handlers have returned and callers
    /// have taken their answers. After two seconds requests without a reply are
    /// told that they may have run.
    auto close() -> void;

private:
    class server;

    [[nodiscard]] auto own_limits() const -> listening_limits;

    core::address at_;
    std::size_t max_body_size_;
    std::vector<route> routes_;
    std::shared_ptr<listening_loop> loop_;
    std::unique_ptr<server> server_; ///< null if not open
};

}

#endif
