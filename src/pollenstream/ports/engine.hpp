#ifndef POLLENSTREAM_PORTS_ENGINE_HPP
#define POLLENSTREAM_PORTS_ENGINE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/prefix_chain.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/priority.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::ports
{

/// Id and network address of an engine.
struct engine_endpoint
{
    core::target_id id;
    core::address address;
};

/// Load that an engine reports about itself, as of the time of the report.
struct load_report
{
    /// Prompt tokens still to be prefilled, by the priority of their requests.
    std::array<std::int64_t, profiles::priority_count> backlog{};
    std::int64_t requests{ 0 };     ///< streams waiting, prefilling or decoding
    std::int64_t memory_used{ 0 };  ///< KV memory in use, in tokens
    std::int64_t memory_total{ 0 }; ///< KV memory in total, in tokens
    double prefill_rate{ 0 };       ///< prompt tokens per second
    double decode_rate{ 0 };        ///< tokens per second of one stream
    double step_seconds{ 0 };       ///< duration of the current batch step
    /// Recently cached prefixes; may be outdated and incomplete.
    std::vector<core::prefix_mark> cached;
    core::duration age{ 0 }; ///< age of the report, as stated by the engine
};

/// The instance for which an engine holds memory; used to find memory whose
/// owner no longer exists.
struct memory_owner
{
    core::instance_id instance;
    core::incarnation incarnation;
};

/// One attempt of a request.
struct engine_request
{
    core::request_id request;
    core::attempt_number attempt;
    memory_owner owner;
    core::model_id model;
    profiles::priority priority{ profiles::priority::normal };
    std::shared_ptr<std::string const> prompt;
    core::token_count prompt_tokens;
    core::prefix_chain prefixes; ///< prefixes that the engine may have cached
    /// Text that the caller already has from a former attempt; the engine
    /// prefills it after the prompt and continues from its end.
    std::string delivered;
    std::int64_t from_position{ 0 };
    core::token_count max_tokens;
    core::duration time_left{ 0 }; ///< the engine ends the stream after this
    /// Reservations that hold the spans of a split prompt, in order; empty if
    /// one engine holds the whole prompt.
    std::vector<core::reservation_id> spans;
};

/// One part of a streamed answer. `position` counts tokens from 0 across all
/// attempts.
struct engine_event
{
    core::request_id request;
    core::attempt_number attempt;
    std::int64_t position{ 0 };
    std::string text;
    bool last{ false };
    std::optional<load_report> load;
};

/// Receives the events of one attempt. Calls may come from different threads,
/// but never at the same time; the last one is exactly one `on_end`.
class stream_listener
{
public:
    virtual ~stream_listener() = default;

    /// A batch of events that were ready together, in the order of arrival.
    virtual auto on_events( std::vector<engine_event> const& events )
        -> void = 0;
    /// The stream ended; the error code tells whether the request may have run.
    virtual auto on_end( core::result<void> status ) -> void = 0;
};

/// An open stream at an engine.
class engine_stream
{
public:
    virtual ~engine_stream() = default;
    /// Ends the stream and frees what the engine holds for it. Idempotent.
    virtual auto cancel() -> void = 0;
    /// Stops listening on this connection but leaves the stream running at the
    /// engine, so that it can be resumed on another connection.
    virtual auto detach() -> void = 0;
};

/// A request to hold memory at an engine for one span of a prompt.
struct reservation_request
{
    core::reservation_id id;
    memory_owner owner;
    core::token_count tokens;
    core::duration time_to_live{ 0 }; ///< the engine frees it after this
};

/// A stream or reservation for which an engine holds memory.
struct held_memory
{
    memory_owner owner;
    core::request_id request;         ///< empty for a reservation
    core::reservation_id reservation; ///< empty for a stream
    core::token_count tokens;
};

/// Client for the calls to model engines.
class engine_client
{
public:
    using done = std::function<void( core::result<void> )>;
    using load_done = std::function<void( core::result<load_report> )>;
    using held_done =
        std::function<void( core::result<std::vector<held_memory>> )>;

    virtual ~engine_client() = default;

    /// Starts an attempt.
    virtual auto open( engine_endpoint const& engine,
                       engine_request const& request,
                       std::shared_ptr<stream_listener> listener )
        -> std::shared_ptr<engine_stream> = 0;

    /// Continues to receive an attempt that the engine still runs, from
    /// `request.from_position`, on a new connection.
    virtual auto resume( engine_endpoint const& engine,
                         engine_request const& request,
                         std::shared_ptr<stream_listener> listener )
        -> std::shared_ptr<engine_stream> = 0;

    virtual auto reserve( engine_endpoint const& engine,
                          reservation_request const& reservation,
                          done callback ) -> void = 0;
    virtual auto release( engine_endpoint const& engine,
                          core::reservation_id const& reservation,
                          done callback ) -> void = 0;
    /// Prefills `tokens` of the prompt into the reservation's memory.
    virtual auto fill_span( engine_endpoint const& engine,
                            core::reservation_id const& reservation,
                            core::token_count tokens,
                            core::duration limit,
                            done callback ) -> void = 0;

    /// Fetches the current load report.
    virtual auto load( engine_endpoint const& engine, load_done callback )
        -> void = 0;
    /// Lists the streams and reservations for which the engine holds memory.
    virtual auto held( engine_endpoint const& engine, held_done callback )
        -> void = 0;
    /// Ends the stream of `request`, whichever instance opened it, and frees
    /// its memory.
    virtual auto drop( engine_endpoint const& engine,
                       core::request_id const& request,
                       done callback ) -> void = 0;
};

}

#endif
