#ifndef APPS_TOOL_LOSS_CAUSE_HPP
#define APPS_TOOL_LOSS_CAUSE_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace apps::tool
{

/// Why a request was late, refused or failed. Each lost request has one cause,
/// the first of these that its lines show.
enum class loss_cause : std::uint8_t
{
    no_configuration,  ///< its instance did not have one yet
    stopping,          ///< its instance was about to stop
    not_finished,      ///< no line ends it: its instance was lost or frozen
    target_failed,     ///< a target answered with a failure
    target_lost,       ///< a target or a connection to one broke
    target_silent,     ///< a target said nothing for too long
    turned_away,       ///< targets did not take it
    memory_not_there,  ///< a reservation was refused
    no_room,           ///< it found no targets while its caller waited
    target_limit,      ///< targets had got as much as they take
    place_drained,     ///< all its targets were in drained data centres
    quarantined,       ///< its content or a part had ended targets
    cut_from_targets,  ///< its instance reached no target
    late_ask,          ///< the answer to its ask for targets took long
    late_by_waiting,   ///< it waited for room, and was then read as predicted
    late_as_predicted, ///< the choice itself said that it would be late
    slower_than_told,  ///< its first event came later than predicted
    long_pause,        ///< a pause between its events was too long
    late_call,         ///< a plain call took longer than its objective
    unknown,
    number_of_causes,
};

/// Stable name of `cause`, as the table prints it.
auto name_of( loss_cause cause ) -> char const*;

/// Lost requests of one kind.
struct loss_sum
{
    std::int64_t requests{ 0 };
    double weight{ 0 }; ///< by size, as placing values them

    /// Adds one request.
    auto add( double request_weight ) -> void
    {
        ++requests;
        weight += request_weight;
    }
};

/// Lost requests by `loss_cause`.
using cause_sums =
    std::array<loss_sum,
               static_cast<std::size_t>( loss_cause::number_of_causes )>;

}

#endif
