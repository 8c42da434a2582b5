#include "loss_cause.hpp"

namespace apps::tool
{

auto name_of( loss_cause cause ) -> char const*
{
    switch ( cause )
    {
    case loss_cause::no_configuration:
        return "no_configuration";
    case loss_cause::stopping:
        return "stopping";
    case loss_cause::not_finished:
        return "not_finished";
    case loss_cause::target_failed:
        return "target_failed";
    case loss_cause::target_lost:
        return "target_lost";
    case loss_cause::target_silent:
        return "target_silent";
    case loss_cause::turned_away:
        return "turned_away";
    case loss_cause::memory_not_there:
        return "memory_not_there";
    case loss_cause::no_room:
        return "no_room";
    case loss_cause::target_limit:
        return "target_limit";
    case loss_cause::place_drained:
        return "place_drained";
    case loss_cause::quarantined:
        return "quarantined";
    case loss_cause::cut_from_targets:
        return "cut_from_targets";
    case loss_cause::late_ask:
        return "late_ask";
    case loss_cause::late_by_waiting:
        return "late_by_waiting";
    case loss_cause::late_as_predicted:
        return "late_as_predicted";
    case loss_cause::slower_than_told:
        return "slower_than_told";
    case loss_cause::long_pause:
        return "long_pause";
    case loss_cause::late_call:
        return "late_call";
    case loss_cause::unknown:
    case loss_cause::number_of_causes:
        break;
    }
    return "unknown";
}

}
