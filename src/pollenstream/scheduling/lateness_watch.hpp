#ifndef POLLENSTREAM_SCHEDULING_LATENESS_WATCH_HPP
#define POLLENSTREAM_SCHEDULING_LATENESS_WATCH_HPP

#include <pollenstream/core/units.hpp>

#include <optional>

namespace pollenstream::scheduling
{

/// Why the first event of a request is expected after the latency objective.
enum class lateness_reason
{
    waited,  ///< the prediction alone is in time, or there is no target yet
    backlog, ///< the prediction exceeds the objective, mostly by other prompts
    prompt,  ///< its own prefill exceeds the objective or outweighs the backlog
};

/// Stable name of `reason`, as in logs.
auto name_of( lateness_reason reason ) -> char const*;

/// Prediction of a request's first event at the choice of its targets.
struct first_event_prediction
{
    core::duration waited{ 0 };      ///< from the arrival to the choice
    core::duration predicted{ 0 };   ///< from the choice to the first event
    core::duration backlog{ 0 };     ///< other prefill, longest at one target
    core::duration own_prefill{ 0 }; ///< longest at one target
};

/// Decides for one request whether its first event is to be expected after the
/// latency objective, under any load. It reports this once, when it first
/// becomes known, so that operators learn of the request before its caller
/// complains. It has no influence on where the request is placed.
class lateness_watch
{
public:
    lateness_watch() = default;
    /// An objective of zero means that there is none: nothing is late.
    explicit lateness_watch( core::duration objective );

    /// Targets have been chosen. Returns the reason if that first shows that
    /// the request will be late.
    auto on_choice( first_event_prediction const& what )
        -> std::optional<lateness_reason>;
    /// The request has waited for `waited` and has no target. Returns the
    /// reason if that first shows that it will be late.
    auto on_wait( core::duration waited ) -> std::optional<lateness_reason>;

    /// True if nothing remains to be reported.
    [[nodiscard]] auto is_done() const -> bool
    {
        return is_done_;
    }
    [[nodiscard]] auto objective() const -> core::duration
    {
        return objective_;
    }

private:
    core::duration objective_{ 0 };
    bool is_done_{ true };
};

}

#endif
