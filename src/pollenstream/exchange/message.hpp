#ifndef POLLENSTREAM_EXCHANGE_MESSAGE_HPP
#define POLLENSTREAM_EXCHANGE_MESSAGE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/memory_budget.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::exchange
{

/// Identifies one attempt of a caller at a request; each retry by the caller
/// has its own id.
using attempt_id = core::strong_id<struct attempt_id_tag>;

struct header_field
{
    std::string name;
    std::string value;
};
using header_list = std::vector<header_field>;

/// Identifies a part of a prompt, such as a system prompt, which may occur in
/// the prompts of many requests.
using prompt_part_id = core::strong_number<struct prompt_part_tag>;

/// Sizes and parts of a prompt, and the size of its answer, as the caller
/// states them.
struct prompt_properties
{
    std::int64_t prompt_tokens{ 0 };
    std::int64_t max_output_tokens{ 0 };
    std::int64_t expected_output_tokens{ 0 }; ///< 0: not stated
    /// The first parts in their order, without the last one, which belongs to
    /// the request or its conversation alone. Each part is listed once.
    std::vector<prompt_part_id> shared_parts;
};

/// Number of parts of a prompt that are considered; further ones are ignored.
inline constexpr auto max_shared_parts = std::size_t{ 32 };

/// How another instance has handed a request over to this one.
struct handover_origin
{
    core::instance_id from;        ///< the caller's instance
    core::duration waited{ 0 };    ///< since that one received the request
    std::int64_t max_targets{ 1 }; ///< that the request may still reach
};

/// A complete request of a caller.
struct caller_request
{
    attempt_id id;
    std::string method;
    std::string target; ///< path with query, forwarded unchanged
    std::string host;
    std::string key;     ///< the caller's API key, never forwarded
    header_list headers; ///< end-to-end headers, forwarded unchanged
    std::string body;
    /// The memory that the body takes; null where no budget limits it.
    std::shared_ptr<core::memory_claim> body_memory;
    std::optional<core::duration> time_limit;
    std::optional<std::int64_t> last_event; ///< last one the caller received
    std::optional<prompt_properties> prompt;
    core::instant received;
    /// Set if another instance has handed the request over. It is never handed
    /// over again, and its caller's instance counts it.
    std::optional<handover_origin> handed_over;
};

/// An answer that is not streamed.
struct whole_answer
{
    int status{ 200 };
    header_list headers;
    std::string body;
    /// The caller's next request should come over a new connection.
    bool closes_connection{ false };
    /// A refusal for the state of this instance: another one may serve the
    /// request at once.
    bool is_refused_here{ false };
};

/// Sends one answer to a caller. Calls have no effect once the caller has
/// disconnected.
class answer_channel
{
public:
    virtual ~answer_channel() = default;

    virtual auto send_whole( whole_answer answer ) -> void = 0;
    virtual auto start_stream( int status, header_list headers ) -> void = 0;
    virtual auto send_chunk( std::string bytes ) -> void = 0;
    virtual auto end_stream() -> void = 0;
    /// Closes the connection such that the caller recognizes the answer as
    /// incomplete.
    virtual auto abort() -> void = 0;
    /// Bytes accepted but not yet written to the caller's connection.
    [[nodiscard]] virtual auto unsent_bytes() const -> std::size_t = 0;
};

/// The load that a target reports with its answers.
struct reported_load
{
    std::int64_t running{ 0 };
    std::int64_t waiting{ 0 };
    std::int64_t slots{ 0 };
};

/// The lowest status of answers by which targets report a failure.
inline constexpr auto first_failure_status = 500;

/// Status and headers of a target's answer, and what they report.
struct answer_head
{
    int status{ 0 };
    header_list headers;          ///< end-to-end headers, forwarded unchanged
    bool proves_not_run{ false }; ///< the request has not been executed
    bool wrong_target{ false };   ///< another target has the address now
    /// The instance to which the request was handed over has not taken it.
    bool handover_refused{ false };
    std::optional<std::uint64_t> announced_bytes; ///< its Content-Length
    bool has_seal{ false };          ///< has exactly one digest, not empty
    bool has_coding{ false };        ///< the body is encoded, as with gzip
    bool is_event_stream{ true };    ///< false if it states another type
    std::string failed_target;       ///< the target that caused a failure
    bool announces_leaving{ false }; ///< the target accepts no new work
    /// How long this instance should send the target nothing.
    core::duration requested_pause{ 0 };
    std::optional<reported_load> load;
    /// Requests per second that the target accepts from all instances together.
    std::optional<double> limit;
    /// The limit is not a non-negative number, or several differing limits are
    /// given.
    bool has_invalid_limit{ false };
    std::vector<std::string> unknown_headers; ///< names, in lower case
};

/// A request as it is sent to one target.
struct outgoing_request
{
    attempt_id id;
    core::target_id target;
    core::target_lifetime lifetime; ///< connections to earlier ones are closed
    core::address address;
    std::shared_ptr<std::string const> head; ///< encoded
    std::shared_ptr<std::string const> body; ///< as the caller sent it
    bool fresh_connection{ false };          ///< do not reuse a connection
    bool is_get{ false };
};

/// How one attempt at a target ended.
struct attempt_end
{
    bool complete{ false };
    /// Complete only in that the target closed the connection: the answer has
    /// neither a length nor chunks, so it may have been cut short.
    bool is_delimited_by_close{ false };
    core::error error;  ///< if not complete
    bool sent{ false }; ///< bytes may have reached the target
};

/// Receives the answer of a target: at most one `on_head`, any number of
/// `on_body`, and one `on_end` unless the attempt is cancelled.
class attempt_listener
{
public:
    virtual ~attempt_listener() = default;
    virtual auto on_head( answer_head head ) -> void = 0;
    virtual auto on_body( std::string bytes ) -> void = 0;
    virtual auto on_end( attempt_end end ) -> void = 0;
};

/// An attempt that is open at a target.
class open_attempt
{
public:
    virtual ~open_attempt() = default;
    /// Closes the connection, upon which the target stops its work. The
    /// listener is not called any more.
    virtual auto cancel() -> void = 0;
    /// Nothing more of the answer is read after what has arrived, until
    /// `resume`. An answer that cannot be held up goes on.
    virtual auto pause() -> void {}
    virtual auto resume() -> void {}
    /// True once bytes of the request may have been sent.
    [[nodiscard]] virtual auto sent() const -> bool = 0;
};

/// Sends requests to targets.
class target_client
{
public:
    virtual ~target_client() = default;
    virtual auto send( outgoing_request request,
                       std::shared_ptr<attempt_listener> listener )
        -> std::shared_ptr<open_attempt> = 0;
};

/// Checks whether a process accepts connections at an address.
class target_probe
{
public:
    /// Receives no value if the check was inconclusive.
    using done = std::function<void( std::optional<bool> listens )>;

    virtual ~target_probe() = default;
    virtual auto probe( core::address const& address, done callback )
        -> void = 0;
};

/// A target that prefills a part of the prompt, and the memory reserved there.
struct helper_target
{
    core::address address;
    core::reservation_id memory; ///< empty if none is reserved
};

/// What a request tells its target in addition to the caller's headers.
struct target_directions
{
    core::target_id target;
    core::duration time_left{ 0 };
    core::workspace_id workspace;           ///< empty if unknown
    std::optional<std::int64_t> last_event; ///< resume after this event
    std::optional<int> urgency;             ///< 0 is the most urgent
    std::vector<helper_target> helpers;
};

/// Encodes requests to targets for the wire.
class request_encoder
{
public:
    virtual ~request_encoder() = default;
    /// The head that precedes the request's body.
    [[nodiscard]] virtual auto
    encode_head( caller_request const& request,
                 target_directions const& directions ) const -> std::string = 0;
};

}

#endif
