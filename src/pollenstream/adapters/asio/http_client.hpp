#ifndef POLLENSTREAM_ADAPTERS_ASIO_HTTP_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_HTTP_CLIENT_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/bounded_text.hpp>
#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::adapters::asio
{

/// Status and header fields of an answer as received.
struct raw_head
{
    int status{ 0 };
    exchange::header_list fields;
    std::optional<std::uint64_t> announced_bytes; ///< its Content-Length
};

/// Whether another answer has been received on the connection before. If so,
/// additional bytes behind that one may look like the next answer.
enum class answer_position
{
    first,
    later,
};

/// Limit on the body of a short reply, such as one to a reservation call.
inline constexpr auto max_short_reply_bytes = std::size_t{ 64 } * 1024;

/// An HTTP/1.1 request and how to send it.
struct http_call
{
    core::address address;
    std::string pool; ///< connections are reused only within a pool
    std::shared_ptr<std::string const> text; ///< the head, or all of it
    std::shared_ptr<std::string const> body; ///< follows `text`; may be null
    bool fresh_connection{ false };
    core::duration connect_time{ std::chrono::milliseconds( 400 ) };
    /// The connection ends if sent data stays unacknowledged for this long.
    core::duration silence{ std::chrono::milliseconds( 1500 ) };
    /// Returns false for an answer that belongs to another call on the
    /// connection; such an answer is skipped. Null accepts every answer.
    std::function<bool( raw_head const&, answer_position )> accepts_head;
    /// The answer has no body, whatever length it announces.
    bool is_head_request{ false };
    /// Limit on the body if the complete answer is collected.
    std::size_t max_reply_bytes{ max_short_reply_bytes };
};

/// Receives the answer of one call: head and body if they arrive, then the end.
class http_listener
{
public:
    virtual ~http_listener() = default;
    virtual auto on_head( raw_head head ) -> void = 0;
    virtual auto on_body( std::string bytes ) -> void = 0;
    virtual auto on_end( exchange::attempt_end end ) -> void = 0;
};

/// A complete answer.
struct http_reply
{
    int status{ 0 };
    std::string body;
};

class client_connection;

/// Makes HTTP calls and keeps idle connections for reuse. Each call is sent
/// once: the client never retries. A connection whose server sends more than is
/// allowed for, in a head or a body, is closed, which ends its call alone.
class http_client
{
public:
    /// `max_reply_memory`: limit on the bodies that are collected at one time.
    http_client( net::io_context& io, std::size_t max_reply_memory );
    ~http_client();
    http_client( http_client const& ) = delete;
    auto operator=( http_client const& ) -> http_client& = delete;

    auto send( http_call call, std::shared_ptr<http_listener> listener )
        -> std::shared_ptr<exchange::open_attempt>;

    using fetch_callback = std::function<void( core::result<http_reply> )>;
    /// Connects to `address` and closes the connection. Reports true if a
    /// process listens there, false if it refuses or drops the connection, and
    /// nullopt after any other error or after `limit`.
    auto probe( core::address const& address,
                core::duration limit,
                std::function<void( std::optional<bool> )> callback ) -> void;

    /// Makes a call and reports its complete answer, or an error if it takes
    /// longer than `limit` or is too large.
    auto fetch( http_call call, core::duration limit, fetch_callback callback )
        -> std::shared_ptr<exchange::open_attempt>;

    [[nodiscard]] auto connections_made() const -> std::uint64_t
    {
        return made_.value();
    }

private:
    friend class client_connection;

    auto take_idle( std::string const& pool )
        -> std::shared_ptr<client_connection>;
    auto keep( std::shared_ptr<client_connection> connection ) -> void;
    auto forget( client_connection const* connection ) -> void;

    net::io_context& io_;
    std::shared_ptr<core::memory_budget> reply_memory_;
    std::map<std::string, std::vector<std::shared_ptr<client_connection>>>
        idle_;
    core::counter made_;
};

}

#endif
