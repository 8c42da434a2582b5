#ifndef POLLENSTREAM_EXCHANGE_EVENT_LOG_HPP
#define POLLENSTREAM_EXCHANGE_EVENT_LOG_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace pollenstream::exchange
{

/// A request was answered without being sent to a target.
struct request_refused
{
    attempt_id id;
    content_id content; ///< zero where no route is known
    int status{ 0 };
    std::string route;
    std::string reason;
    core::duration waited{ 0 };
    core::duration retry_after{ 0 };
    core::revision configuration;
    std::int64_t prompt_tokens{ 0 };
    std::size_t waiting{ 0 }; ///< requests of this instance that wait
};

/// A request was sent to a target.
struct request_placed
{
    attempt_id id;
    content_id content;
    std::string route;
    core::target_id target;
    std::vector<work_part> parts; ///< the target's own part is the first
    std::int64_t number{ 1 };     ///< targets reached so far, this one included
    core::duration waited{ 0 };
    core::duration time_left{ 0 };
    double predicted_ms{ 0 };
    std::int64_t prompt_tokens{ 0 };
    choice_basis basis; ///< what `decided_by` knew of the targets
    core::revision configuration;
    core::instance_id decided_by;       ///< the instance that chose the targets
    core::duration placement_time{ 0 }; ///< from the ask to the choice
};

/// An attempt at a target failed, and what follows from it.
struct attempt_failed
{
    attempt_id id;
    content_id content;
    core::target_id target;
    std::string error;
    bool may_have_run{ false };
    std::string decision;
    core::duration silent_for{ 0 }; ///< since the target was last heard
    std::int64_t events{ 0 };       ///< passed on to the caller before
    /// By how much this instance's own timer was late, where silence is the
    /// error: what the target sent meanwhile has not been read.
    core::duration timer_late{ 0 };
};

/// A request has its last word.
struct request_ended
{
    attempt_id id;
    content_id content; ///< zero where no route is known
    std::string route;
    std::string outcome;
    int status{ 0 };
    core::target_id target;
    core::duration total{ 0 };
    core::duration first_event{ 0 };
    core::duration longest_gap{ 0 };
    std::int64_t events{ 0 };
    std::int64_t targets{ 0 };
    std::int64_t prompt_tokens{ 0 };
    core::duration latency_objective{ 0 }; ///< zero where no route is known
    core::duration gap_objective{ 0 };
    core::revision configuration;     ///< that it was taken in under
    core::revision configuration_now; ///< in force at its end
};

/// What the process believes of something has changed.
struct state_change
{
    std::string what; ///< `target`, `store`, `peer`, `configuration`, `process`
    std::string name;
    std::string now;
    std::string because;
    core::duration age{ 0 }; ///< of what the belief rests on
};

/// News of a target's limit, told by `because`.
auto limit_state_change( target_ref const& target,
                         limit_change change,
                         std::optional<double> per_second,
                         std::string because ) -> state_change;

using event = std::variant<request_refused,
                           request_placed,
                           attempt_failed,
                           request_ended,
                           state_change>;

/// Takes events; never blocks.
class event_log
{
public:
    virtual ~event_log() = default;
    virtual auto record( event const& what ) -> void = 0;
};

}

#endif
