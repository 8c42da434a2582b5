#ifndef POLLENSTREAM_ADAPTERS_ASIO_HTTP_CALL_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_HTTP_CALL_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

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

}

#endif
