#include <pollenstream/exchange/crash_history.hpp>

#include <algorithm>
#include <chrono>

// Member functions of crash_history that concern the trials of quarantines.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Further pause before a trial whose request has other suspects too: its
/// target may crash for one of these.
constexpr auto ambiguous_trial_pause = core::duration( 2s );

}

auto crash_history::next_trial( suspect_list const& suspects ) const
    -> std::optional<core::instant>
{
    auto latest = std::optional<core::instant>{};
    auto groups = 0;
    for ( auto const& group : groups_ )
    {
        if ( !contains_all( suspects, group.suspects ) )
            continue;
        auto const is_ambiguous =
            ++groups > 1 || may_have_other_cause( group, suspects );
        auto const next =
            group.trials.next() +
            ( is_ambiguous ? ambiguous_trial_pause : core::duration( 0 ) );
        latest = std::max( latest.value_or( next ), next );
    }
    return latest;
}

auto crash_history::is_trial_due( suspect_list const& suspects,
                                  core::instant now ) const -> bool
{
    auto const next = next_trial( suspects );
    return next && *next <= now && ( !may_begin_trials || may_begin_trials() );
}

auto crash_history::begin_trial( suspect_list const& suspects,
                                 core::instant now ) -> void
{
    auto changed = std::vector<quarantined_group>{};
    for ( auto& group : groups_ )
    {
        if ( !contains_all( suspects, group.suspects ) )
            continue;
        group.trials.begin( now, is_free_trial( group, now ) );
        changed.push_back( describe( group ) );
    }
    for ( auto const& group : changed )
        if ( on_trial )
            on_trial( group );
}

auto crash_history::end_trial( suspect_list const& suspects,
                               core::instant began,
                               core::instant now ) -> void
{
    auto changed = std::vector<quarantined_group>{};
    for ( auto& group : groups_ )
    {
        auto const crashes = common_crashes( group.suspects );
        auto const is_this_trial = contains_all( suspects, group.suspects ) &&
                                   group.trials.since() == began;
        auto const has_crashed = !crashes.empty() && crashes.back().at >= began;
        if ( !is_this_trial || has_crashed )
            continue;
        group.trials.revoke( now );
        changed.push_back( describe( group ) );
    }
    for ( auto const& group : changed )
        if ( on_trial )
            on_trial( group );
}

/// True while no more than the first crashes are known, or the last of these
/// has just been reported.
auto crash_history::is_free_trial( group_state const& group,
                                   core::instant now ) const -> bool
{
    auto const crashes = common_crashes( group.suspects );
    constexpr auto free = trial_schedule::free_crashes;
    if ( crashes.size() < free )
        return true;
    return group.has_crash_times &&
           now - crashes[free - 1].at <= trial_schedule::settle_time;
}

/// True if another suspect of the request was present at most crashes of the
/// group.
auto crash_history::may_have_other_cause( group_state const& group,
                                          suspect_list const& request ) const
    -> bool
{
    auto const crashes = common_crashes( group.suspects ).size();
    auto const is_at_most_crashes = [&]( suspect_id id )
    {
        auto together = group.suspects;
        together.push_back( id );
        return common_crashes( together ).size() * 2 > crashes;
    };
    return std::any_of( request.begin(), request.end(),
                        [&]( suspect_id id )
                        {
                            return !contains_all( group.suspects, { id } ) &&
                                   is_at_most_crashes( id );
                        } );
}

}
