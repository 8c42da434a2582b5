#include <pollenstream/exchange/crash_history.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

// Member functions of crash_history that find the causes of crashes and tell
// which quarantines the crashes still support.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// A quarantine is kept while this many of its crashes have no other cause.
constexpr auto crashes_to_keep = std::size_t{ 2 };

/// Crashes after which a suspect is a cause although it was served before, and
/// the least time between the first and the last of them. When all targets of a
/// service crash at once, what most requests share is present at every crash
/// and served by none until targets have restarted.
constexpr auto crashes_after_service = std::size_t{ 5 };
constexpr auto time_after_service = core::duration( 5s );

/// Targets that crash within this time of each other may have a cause outside,
/// as a machine that they share. It covers the delay of the reports.
constexpr auto one_moment = core::duration( 100ms );

/// Number of moments at which there were crashes.
auto count_moments( std::vector<target_crash> const& crashes ) -> std::size_t
{
    auto moments = std::size_t{ 0 };
    auto last = core::instant::min();
    for ( auto const& crash : crashes )
    {
        if ( moments > 0 && crash.at - last < one_moment )
            continue;
        ++moments;
        last = crash.at;
    }
    return moments;
}

/// Number of crashes that count as evidence against the suspect. Coordinators
/// keep the runs of a suspect content apart, so that each of its crashes
/// counts. The requests that share a part run at many targets at the same time:
/// what crashes several of these at one moment is evidence only once.
auto count_evidence( suspect_id id, std::vector<target_crash> const& crashes )
    -> std::size_t
{
    return is_prompt_part( id ) ? count_moments( crashes ) : crashes.size();
}

/// True if these crashes, without an answer in between, outweigh that a suspect
/// was served before them.
auto outweighs_service( std::vector<target_crash> const& crashes ) -> bool
{
    return crashes.size() >= crashes_after_service &&
           crashes.back().at - crashes.front().at >= time_after_service;
}

auto has_content( suspect_list const& suspects ) -> bool
{
    return !std::all_of( suspects.begin(), suspects.end(), is_prompt_part );
}

/// True if both lists contain the same targets, in any order.
auto have_same_targets( std::vector<target_crash> const& a,
                        std::vector<target_crash> const& b ) -> bool
{
    return a.size() == b.size() &&
           std::all_of( a.begin(), a.end(),
                        [&]( auto const& crash )
                        {
                            return has_target( b, crash.target );
                        } );
}

}

/// Quarantines the most likely causes of the crashes one after the other.
auto crash_history::find_causes() -> void
{
    unconfirmed_.reset();
    if ( may_quarantine && !may_quarantine() )
        return;
    auto cause = next_cause();
    while ( cause && confirm_last( *cause ) )
    {
        auto const since = cause->crashes.back().at;
        add_group(
            { std::move( cause->suspects ), since, trial_schedule( since ) } );
        cause = next_cause();
    }
}

/// True if the target that crashed last is known to have ended. If not, it is
/// asked to be checked, which may call this object again.
auto crash_history::confirm_last( quarantined_group const& cause ) -> bool
{
    auto const target = cause.crashes.back().target;
    auto& known = target_of( target );
    if ( known.has_ended && known.lifetime == target.lifetime )
        return true;
    unconfirmed_ = cause.suspects;
    if ( !std::exchange( known.is_checked, true ) && on_confirmation_needed )
        on_confirmation_needed( target );
    return false;
}

/// The suspects that were present at the most crashes without a known cause;
/// nullopt if there are too few crashes. Suspects that differ, but were present
/// at as many crashes, are not told apart until another crash.
auto crash_history::next_cause() const -> std::optional<quarantined_group>
{
    auto causes = std::vector<quarantined_group>{};
    for ( auto const& [id, crashes] : crashes_ )
    {
        if ( crashes.size() < crashes_to_quarantine )
            continue;
        auto open = unexplained( { id } );
        if ( count_evidence( id, open ) < crashes_to_quarantine )
            continue;
        if ( served_.contains( id ) && !outweighs_service( open ) )
            continue;
        auto const same =
            std::find_if( causes.begin(), causes.end(),
                          [&open]( auto const& cause )
                          {
                              return have_same_targets( cause.crashes, open );
                          } );
        if ( same != causes.end() )
            same->suspects.push_back( id );
        else
            causes.push_back( { { id }, std::move( open ) } );
    }
    for ( auto& cause : causes )
        std::sort( cause.suspects.begin(), cause.suspects.end() );
    std::erase_if( causes,
                   [this]( auto const& cause )
                   {
                       return is_group( cause.suspects );
                   } );
    std::sort( causes.begin(), causes.end(),
               []( auto const& a, auto const& b )
               {
                   return a.crashes.size() > b.crashes.size();
               } );
    auto const is_tied = causes.size() > 1 &&
                         causes[0].crashes.size() == causes[1].crashes.size();
    if ( causes.empty() || is_tied )
        return std::nullopt;
    return causes.front();
}

auto crash_history::add_group( group_state added ) -> void
{
    for ( auto& group : groups_ )
        if ( group.suspects == added.suspects )
        {
            group.adopted_at = std::max( group.adopted_at, added.adopted_at );
            if ( added.has_crash_times )
                group.trials.merge( added.trials );
            else
                group.trials.merge_recorded( added.trials.step() );
            return;
        }
    groups_.push_back( std::move( added ) );
    drop_invalid_groups();
}

auto crash_history::describe( group_state const& group ) const
    -> quarantined_group
{
    return { group.suspects, common_crashes( group.suspects ), group.trials,
             group.has_crash_times };
}

/// Removes the groups that have too few crashes left, also because others
/// explain them.
auto crash_history::drop_invalid_groups() -> void
{
    for ( auto at = groups_.begin(); at != groups_.end(); )
    {
        // The group itself must not count as another explanation.
        auto const group = std::move( *at );
        at = groups_.erase( at );
        if ( is_valid( group.suspects ) && !is_group( group.suspects ) )
            at = std::next( groups_.insert( at, group ) );
    }
    if ( on_changed )
        on_changed();
}

/// The quarantine of a content, which holds back no other requests, is not
/// ended by that of another content: of two that crash targets, at times the
/// same ones, each would end the quarantine of the other. If it is a mistake, a
/// trial ends it.
auto crash_history::is_valid( suspect_list const& group ) const -> bool
{
    auto const explaining = has_content( group )
                                ? explaining_groups::only_of_parts
                                : explaining_groups::all;
    return common_crashes( group ).size() >= crashes_to_quarantine &&
           unexplained( group, explaining ).size() >= crashes_to_keep;
}

auto crash_history::common_crashes( suspect_list const& suspects ) const
    -> std::vector<target_crash>
{
    if ( suspects.empty() )
        return {};
    auto common = crashes_of( suspects.front() );
    for ( auto const id : suspects )
    {
        auto const found = crashes_.find( id );
        if ( found == crashes_.end() )
            return {};
        std::erase_if( common,
                       [&found]( auto const& crash )
                       {
                           return !has_target( found->second, crash.target );
                       } );
    }
    return common;
}

/// True if the suspects belong to the group or to the requests that it holds
/// back, so that they may be the cause of its crashes.
auto crash_history::may_include( suspect_list const& group,
                                 suspect_list const& suspects ) const -> bool
{
    auto all = group;
    for ( auto const id : group )
        if ( auto const found = parts_of_content_.find( id );
             found != parts_of_content_.end() )
            all.insert( all.end(), found->second.begin(), found->second.end() );
    std::sort( all.begin(), all.end() );
    all.erase( std::unique( all.begin(), all.end() ), all.end() );
    return contains_all( all, suspects );
}

/// The common crashes of the suspects that no other quarantine explains.
auto crash_history::unexplained( suspect_list const& suspects,
                                 explaining_groups explaining ) const
    -> std::vector<target_crash>
{
    auto open = common_crashes( suspects );
    for ( auto const& group : groups_ )
    {
        if ( may_include( group.suspects, suspects ) ||
             ( explaining == explaining_groups::only_of_parts &&
               has_content( group.suspects ) ) )
            continue;
        auto const explained = common_crashes( group.suspects );
        std::erase_if( open,
                       [&explained]( auto const& crash )
                       {
                           return has_target( explained, crash.target );
                       } );
    }
    return open;
}

}
