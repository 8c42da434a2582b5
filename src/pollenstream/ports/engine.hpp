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

/// Where an engine is, and which one it is.
struct engine_endpoint
{
    core::target_id id;
    core::address address;
};

/// What an engine says of itself; a fact of the time when it was taken.
struct load_report
{
    /// Prompt tokens still to be read, by the priority of their requests.
    std::array<std::int64_t, profiles::priority_count> backlog{};
    std::int64_t requests{ 0 };     ///< streams waiting, reading or writing
    std::int64_t memory_used{ 0 };  ///< tokens of KV memory in use
    std::int64_t memory_total{ 0 }; ///< tokens of KV memory
    double prefill_rate{ 0 };       ///< prompt tokens a second
    double decode_rate{ 0 };        ///< tokens a second of one stream
    double step_seconds{ 0 };       ///< length of the present batch step
    /// Prefixes that it cached lately; late, and not all of them.
    std::vector<core::prefix_mark> cached;
    core::duration age{ 0 }; ///< how old the engine says this is
};

/// Who asks an engine to hold memory; an orphan is found by it.
struct memory_owner
{
    core::instance_id instance;
    core::incarnation incarnation;
};

/// One attempt at one request.
struct engine_request
{
    core::request_id request;
    core::attempt_number attempt;
    memory_owner owner;
    core::model_id model;
    profiles::priority priority{ profiles::priority::normal };
    std::shared_ptr<std::string const> prompt;
    core::token_count prompt_tokens;
    core::prefix_chain prefixes; ///< what the engine may have cached
    /// Tokens that the caller already has from a former attempt; the engine
    /// reads them after the prompt and goes on behind them.
    std::string delivered;
    std::int64_t from_position{ 0 };
    core::token_count max_tokens;
    core::duration time_left{ 0 }; ///< the engine drops the stream after it
    /// Reservations that hold the prompt, in order; empty where one engine
    /// holds all of it.
    std::vector<core::reservation_id> spans;
};

/// One step of an answer. `position` counts tokens from 0 over all attempts.
struct engine_event
{
    core::request_id request;
    core::attempt_number attempt;
    std::int64_t position{ 0 };
    std::string text;
    bool last{ false };
    std::optional<load_report> load;
};

/// Receives one attempt's events. Calls come from several threads, one at a
/// time, and end with exactly one `on_end`.
class stream_listener
{
public:
    virtual ~stream_listener() = default;

    /// All events that were ready at once, in the order of arrival.
    virtual auto on_events( std::vector<engine_event> const& events )
        -> void = 0;
    /// The stream ended; an error says how far that proves anything.
    virtual auto on_end( core::result<void> status ) -> void = 0;
};

/// A stream that is open at an engine.
class engine_stream
{
public:
    virtual ~engine_stream() = default;
    /// Frees what the engine holds for the stream. May be called twice.
    virtual auto cancel() -> void = 0;
    /// Stops listening over this connection and leaves the stream running at
    /// the engine, so that it can be resumed over another.
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

/// Something that an engine holds memory for.
struct held_memory
{
    memory_owner owner;
    core::request_id request;         ///< empty for a reservation
    core::reservation_id reservation; ///< empty for a stream
    core::token_count tokens;
};

/// Calls to model engines.
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

    /// Reads on in an attempt that the engine still runs, from
    /// `request.from_position`, over a new connection.
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
    /// Reads `tokens` of the prompt into the reservation's memory.
    virtual auto fill_span( engine_endpoint const& engine,
                            core::reservation_id const& reservation,
                            core::token_count tokens,
                            core::duration limit,
                            done callback ) -> void = 0;

    virtual auto load( engine_endpoint const& engine, load_done callback )
        -> void = 0;
    virtual auto held( engine_endpoint const& engine, held_done callback )
        -> void = 0;
    /// Frees the stream of `request`, whoever opened it.
    virtual auto drop( engine_endpoint const& engine,
                       core::request_id const& request,
                       done callback ) -> void = 0;
};

}

#endif
