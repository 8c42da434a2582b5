#ifndef POLLENSTREAM_EXCHANGE_EVENT_LOG_HPP
#define POLLENSTREAM_EXCHANGE_EVENT_LOG_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/request_content.hpp>
#include <pollenstream/exchange/suspect.hpp>
#include <pollenstream/scheduling/lateness_watch.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pollenstream::exchange
{

/// The gateway refused a request that no target has run.
struct request_refused
{
    attempt_id id;
    content_id content;           ///< zero where no route is known
    core::workspace_id workspace; ///< empty if the route needs no key
    int status{ 0 };
    std::string route;
    std::string reason;
    core::duration waited{ 0 };
    core::duration retry_after{ 0 };
    core::revision configuration;
    std::int64_t prompt_tokens{ 0 };
    std::size_t waiting{ 0 };         ///< length of this instance's wait queue
    suspect_list quarantine;          ///< for which it was refused, if any
    core::instance_id handed_over_by; ///< empty: it came from its caller
};

/// A request was sent to a target.
struct request_placed
{
    attempt_id id;
    content_id content;
    std::string route;
    core::target_id target;
    std::vector<work_part> parts; ///< the target's own part comes first
    std::int64_t number{ 1 };     ///< targets reached, including this one
    core::duration waited{ 0 };
    core::duration time_left{ 0 };
    double predicted_ms{ 0 };
    std::int64_t prompt_tokens{ 0 };
    choice_basis basis; ///< load of the targets as known to `decided_by`
    core::revision configuration;
    core::instance_id decided_by; ///< the instance that chose the targets
    /// From the placement request to its grant.
    core::duration placement_time{ 0 };
    std::vector<prompt_part_id> shared_parts; ///< of the prompt
    core::instance_id handed_over_by; ///< empty: it came from its caller
};

/// A request is handed over to an instance that reaches targets.
struct request_handed_over
{
    attempt_id id;
    content_id content;
    std::string route;
    core::instance_id to;
    std::string because;
    std::int64_t number{ 1 }; ///< instances asked, including this one
    core::duration waited{ 0 };
    core::duration time_left{ 0 };
    bool is_retry{ false }; ///< a target may have received it before
};

/// The first event of a request is expected after its latency objective.
/// Recorded at most once for each request, when this becomes known.
struct lateness_expected
{
    attempt_id id;
    content_id content;
    core::workspace_id workspace; ///< empty if the route needs no key
    std::string route;
    core::duration waited{ 0 };
    /// From now to the first event; empty if the request has no target.
    std::optional<core::duration> predicted;
    core::duration latency_objective{ 0 };
    scheduling::lateness_reason reason{ scheduling::lateness_reason::waited };
    core::instance_id handed_over_by; ///< empty: it came from its caller
};

/// An attempt at a target failed. `decision` says what the exchange does next.
struct attempt_failed
{
    attempt_id id;
    content_id content;
    core::target_id target;
    std::string error;
    bool may_have_run{ false };
    std::string decision;
    core::duration silent_for{ 0 }; ///< since data last came from the target
    std::int64_t events{ 0 };       ///< received for this request until then
    std::int64_t own_events{ 0 };   ///< received from this target
    bool has_head{ false };         ///< the answer had begun
    std::vector<prompt_part_id> shared_parts; ///< of the prompt
    /// How late the timer fired that detected a silence. Data that the target
    /// sent during this delay has not been read yet.
    core::duration timer_late{ 0 };
    core::instance_id handed_over_by; ///< empty: it came from its caller
};

/// A request has ended.
struct request_ended
{
    attempt_id id;
    content_id content;           ///< zero where no route is known
    core::workspace_id workspace; ///< empty if the route needs no key
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
    core::revision configuration;     ///< in force when it was admitted
    core::revision configuration_now; ///< in force at its end
    core::instance_id handed_over_by; ///< empty: it came from its caller
};

/// The state of something, as known to this process, has changed.
struct state_change
{
    std::string what; ///< `target`, `store`, `peer`, `configuration`, `process`
    std::string name;
    std::string now; ///< the new state
    std::string because;
    core::duration age{ 0 }; ///< of the data that the state is known from
};

/// The event for a target that gets no work for a while because of failures,
/// which `seen_by` has seen.
auto ejection_state_change( target_ref const& target, std::string seen_by )
    -> state_change;

/// The event for a change of a target's limit. `because` names the source of
/// the limit, to which the rate is appended.
auto limit_state_change( target_ref const& target,
                         limit_change change,
                         std::optional<double> per_second,
                         std::string because ) -> state_change;

/// The event for a target that has become slower than configured, or no longer
/// is.
auto slowdown_state_change( slowdown_change const& change ) -> state_change;

using event = std::variant<request_refused,
                           request_placed,
                           request_handed_over,
                           lateness_expected,
                           attempt_failed,
                           request_ended,
                           state_change>;

/// Receives the events of all exchanges. Implementations never block.
class event_log
{
public:
    virtual ~event_log() = default;
    virtual auto record( event const& what ) -> void = 0;
};

}

#endif
