#ifndef POLLENSTREAM_EXCHANGE_MESSAGE_HPP
#define POLLENSTREAM_EXCHANGE_MESSAGE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
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

/// Names one try of a caller at one request; a caller's retry has its own.
using attempt_id = core::strong_id<struct attempt_id_tag>;

struct header_field
{
    std::string name;
    std::string value;
};
using header_list = std::vector<header_field>;

/// A prompt as the caller describes it.
struct prompt_properties
{
    std::int64_t prompt_tokens{ 0 };
    std::int64_t max_output_tokens{ 0 };
    std::int64_t expected_output_tokens{ 0 }; ///< 0: not told
};

/// A caller's request, read whole.
struct caller_request
{
    attempt_id id;
    std::string method;
    std::string target; ///< path with query, passed on unchanged
    std::string host;
    std::string key;     ///< the caller's secret; never passed on
    header_list headers; ///< end-to-end headers that are passed on unchanged
    std::string body;
    std::optional<core::duration> time_limit;
    std::optional<std::int64_t> last_event; ///< the caller has events up to it
    std::optional<prompt_properties> prompt;
    core::instant received;
};

/// An answer that is written as a whole.
struct whole_answer
{
    int status{ 200 };
    header_list headers;
    std::string body;
};

/// Where one caller's answer goes. The channel is used for one answer; calls
/// after the caller has gone do nothing.
class answer_channel
{
public:
    virtual ~answer_channel() = default;

    virtual auto send_whole( whole_answer answer ) -> void = 0;
    virtual auto start_stream( int status, header_list headers ) -> void = 0;
    virtual auto send_piece( std::string bytes ) -> void = 0;
    virtual auto end_stream() -> void = 0;
    /// Closes so that the answer cannot be taken for a complete one.
    virtual auto abort() -> void = 0;
    /// Bytes accepted and not yet taken by the caller's connection.
    [[nodiscard]] virtual auto unsent_bytes() const -> std::size_t = 0;
};

/// The load that a target tells with its answers.
struct reported_load
{
    std::int64_t running{ 0 };
    std::int64_t waiting{ 0 };
    std::int64_t slots{ 0 };
};

/// Start of a target's answer.
struct answer_head
{
    int status{ 0 };
    header_list headers; ///< end-to-end headers, passed back unchanged
    bool proves_not_run{ false };
    bool wrong_target{ false };      ///< another instance has the address
    bool has_seal{ false };          ///< carries the target's digest
    std::string at_fault;            ///< the target that made the work fail
    bool announces_leaving{ false }; ///< the target takes no new work
    /// For how long the target wants nothing from this instance.
    core::duration wants_pause{ 0 };
    std::optional<reported_load> load;
    /// Requests a second that the target takes from all instances together.
    std::optional<double> limit;
    /// It names a limit that is no number from zero up, or several that differ.
    bool has_invalid_limit{ false };
    std::vector<std::string> unknown_headers; ///< names, in lower case
};

/// One request on its way to one target.
struct outgoing_request
{
    attempt_id id;
    core::target_id target;
    core::target_lifetime lifetime; ///< connections of a former one are dead
    core::address address;
    std::shared_ptr<std::string const> text; ///< head and body as sent
    bool fresh_connection{ false };          ///< use no kept connection
    bool is_get{ false };
};

/// How one attempt at a target ended.
struct attempt_end
{
    bool complete{ false };
    core::error error;  ///< where not complete
    bool sent{ false }; ///< bytes may have reached the target
};

/// Receives what a target answers, ending with one `on_end` unless cancelled.
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
    /// Closes the connection, which stops the target's work. No further calls
    /// reach the listener.
    virtual auto cancel() -> void = 0;
    /// True once bytes of the request may have left.
    [[nodiscard]] virtual auto sent() const -> bool = 0;
};

/// Sends requests to targets.
class target_caller
{
public:
    virtual ~target_caller() = default;
    virtual auto send( outgoing_request request,
                       std::shared_ptr<attempt_listener> listener )
        -> std::shared_ptr<open_attempt> = 0;
};

/// Finds out whether a process takes connections at an address.
class target_probe
{
public:
    /// Nothing where it cannot be told.
    using done = std::function<void( std::optional<bool> listens )>;

    virtual ~target_probe() = default;
    virtual auto probe( core::address const& address, done callback )
        -> void = 0;
};

/// A target that reads a part of the prompt, with the memory held there.
struct helper_target
{
    core::address address;
    core::reservation_id memory; ///< empty: none is held
};

/// What the target is told beside the caller's own headers.
struct target_directions
{
    core::target_id target;
    core::duration time_left{ 0 };
    core::workspace_id workspace;           ///< empty: none
    std::optional<std::int64_t> last_event; ///< go on behind this event
    std::optional<int> urgency;             ///< 0 is first
    std::vector<helper_target> helpers;
};

/// Spells requests to targets on the wire.
class request_encoder
{
public:
    virtual ~request_encoder() = default;
    [[nodiscard]] virtual auto
    encode( caller_request const& request,
            target_directions const& directions ) const -> std::string = 0;
};

}

#endif
