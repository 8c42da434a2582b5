#include <pollenstream/exchange/crash_history.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// How long a crash is remembered: long enough to cover the repeats of a
/// caller, but limited, as engines may run another version after some time.
constexpr auto retention_time = core::duration( 10min );
/// Number of crashes that are remembered of each suspect: the latest.
constexpr auto max_crashes = std::size_t{ 32 };
/// Number of quarantined groups from which on others' groups are not adopted.
constexpr auto max_groups = std::size_t{ 256 };
/// Number of parts that are remembered for all suspect contents.
constexpr auto max_known_parts = std::size_t{ 262'144 };
/// Instances that hear only of their own answers remember for this time at
/// which crashes a part was present. Others may have served it since.
constexpr auto unjudged_part_time = core::duration( 10s );

}

auto has_target( std::vector<target_crash> const& crashes,
                 target_ref const& target ) -> bool
{
    return std::any_of( crashes.begin(), crashes.end(),
                        [&]( auto const& crash )
                        {
                            return crash.target == target;
                        } );
}

crash_history::crash_history( core::duration expiry_time )
    : expiry_time_( expiry_time )
{
}

auto crash_history::is_member( suspect_id id ) const -> bool
{
    return std::any_of( groups_.begin(), groups_.end(),
                        [id]( auto const& group )
                        {
                            return contains_all( group.suspects, { id } );
                        } );
}

auto crash_history::erase_crashes(
    std::function<bool( target_crash const& )> const& which ) -> void
{
    for ( auto at = crashes_.begin(); at != crashes_.end(); )
    {
        std::erase_if( at->second, which );
        at = at->second.empty() ? crashes_.erase( at ) : std::next( at );
    }
    std::erase_if( parts_of_content_,
                   [this]( auto const& entry )
                   {
                       return !crashes_.contains( entry.first );
                   } );
    drop_invalid_groups();
}

auto crash_history::add_crash( suspect_id id, target_crash const& crash )
    -> void
{
    auto const served = served_.find( id );
    if ( served != served_.end() && crash.at <= served->second )
        return;
    if ( !crashes_.contains( id ) )
        evict_if_full();
    auto& crashes = crashes_[id];
    if ( has_target( crashes, crash.target ) )
        return;
    auto const is_later = [&crash]( auto const& other )
    {
        return other.at > crash.at;
    };
    crashes.insert( std::find_if( crashes.begin(), crashes.end(), is_later ),
                    crash );
    if ( crashes.size() > max_crashes )
        crashes.erase( crashes.begin() );
}

/// Remembers which parts the prompt of a suspect request has.
auto crash_history::note_parts( suspect_list const& request ) -> void
{
    auto const parts = prompt_parts_of( request );
    for ( auto const id : request )
    {
        if ( is_prompt_part( id ) || parts.empty() || !crashes_.contains( id ) )
            continue;
        auto& known = parts_of_content_[id];
        auto merged = suspect_list{};
        std::set_union( known.begin(), known.end(), parts.begin(), parts.end(),
                        std::back_inserter( merged ) );
        if ( known_parts() + merged.size() - known.size() <= max_known_parts )
            known = std::move( merged );
    }
}

auto crash_history::note_crash( crashed_run const& run ) -> void
{
    auto const alive = alive_until_.find( run.target.id );
    if ( alive != alive_until_.end() && run.at < alive->second )
        return;
    auto& target = target_of( run.target );
    if ( target.lifetime != run.target.lifetime )
        target = { run.target.lifetime, run.at };
    target.crashed_at = std::max( target.crashed_at, run.at );
    for ( auto const id : run.suspects )
        add_crash( id, { run.target, run.at } );
    note_parts( run.suspects );
    find_causes();
}

auto crash_history::note_ended( target_ref const& target ) -> void
{
    auto const found = targets_.find( target.id );
    if ( found == targets_.end() || found->second.lifetime != target.lifetime )
        return;
    found->second.has_ended = true;
    find_causes();
}

auto crash_history::adopt( quarantined_group const& group, core::instant now )
    -> void
{
    for ( auto const& crash : group.crashes )
    {
        auto const alive = alive_until_.find( crash.target.id );
        if ( alive != alive_until_.end() && crash.at < alive->second )
            continue;
        for ( auto const id : group.suspects )
            add_crash( id, crash );
    }
    auto const is_known = is_group( group.suspects );
    if ( is_valid( group.suspects ) &&
         ( is_known || groups_.size() < max_groups ) )
        add_group(
            { group.suspects, now, group.trials, group.has_crash_times } );
    find_causes();
}

auto crash_history::note_alive( target_ref const& target, core::instant at )
    -> void
{
    auto& alive = alive_until_[target.id];
    alive = std::max( alive, at );
    targets_.erase( target.id );
    erase_crashes(
        [&]( auto const& crash )
        {
            return crash.target == target && crash.at <= at;
        } );
    find_causes();
}

auto crash_history::remove_from_groups( suspect_id id ) -> void
{
    for ( auto& group : groups_ )
        std::erase( group.suspects, id );
    drop_invalid_groups();
}

auto crash_history::note_served( suspect_list const& suspects,
                                 core::instant at ) -> bool
{
    auto was_suspect = false;
    for ( auto const id : suspects )
    {
        auto const had_crashes = crashes_.erase( id ) > 0;
        parts_of_content_.erase( id );
        was_suspect = was_suspect || had_crashes;
        if ( had_crashes || is_prompt_part( id ) )
            note_served_at( id, at );
        if ( had_crashes )
            remove_from_groups( id );
    }
    return was_suspect;
}

auto crash_history::note_answer( target_ref const& target, core::instant sent )
    -> void
{
    auto const known = targets_.find( target.id );
    if ( known == targets_.end() || known->second.crashed_at >= sent )
        return;
    note_alive( target, sent );
}

auto crash_history::forget_since( core::instant since ) -> void
{
    erase_crashes(
        [since]( auto const& crash )
        {
            return crash.at >= since;
        } );
    find_causes();
}

auto crash_history::prune( core::instant now, is_listed const& listed ) -> void
{
    erase_crashes(
        [&]( auto const& crash )
        {
            auto const age = now - crash.at;
            if ( age <= expiry_time_ || !listed( crash.target ) )
                return age > retention_time;
            // Other instances may still report this crash.
            auto& alive = alive_until_[crash.target.id];
            alive = std::max( alive, now - expiry_time_ );
            return true;
        } );
    auto const is_old = [now]( core::instant at )
    {
        return now - at > retention_time;
    };
    std::erase_if( targets_,
                   [&]( auto const& entry )
                   {
                       return is_old( entry.second.crashed_at );
                   } );
    std::erase_if( alive_until_,
                   [&]( auto const& entry )
                   {
                       return is_old( entry.second );
                   } );
    std::erase_if( served_,
                   [&]( auto const& entry )
                   {
                       return is_old( entry.second );
                   } );
    if ( may_quarantine && !may_quarantine() )
        return forget_unjudged_parts( now );
    // Once this instance judges no more, others need time to adopt these.
    for ( auto& group : groups_ )
        group.adopted_at = now;
    find_causes();
}

/// Coordinators are told which parts were served. This instance is not, so that
/// it would hand on crashes of parts that have long been cleared.
auto crash_history::forget_unjudged_parts( core::instant now ) -> void
{
    for ( auto at = crashes_.begin(); at != crashes_.end(); )
    {
        if ( is_prompt_part( at->first ) && !is_member( at->first ) )
            std::erase_if( at->second,
                           [now]( auto const& crash )
                           {
                               return now - crash.at > unjudged_part_time;
                           } );
        at = at->second.empty() ? crashes_.erase( at ) : std::next( at );
    }
}

auto crash_history::lift( suspect_list const& suspects ) -> void
{
    // Without its crashes, a single suspect is not quarantined again at once.
    if ( suspects.size() == 1 && is_group( suspects ) )
        crashes_.erase( suspects.front() );
    std::erase_if( groups_,
                   [&suspects]( auto const& group )
                   {
                       return group.suspects == suspects;
                   } );
    if ( on_changed )
        on_changed();
}

auto crash_history::lift_not_adopted_since( core::instant since ) -> void
{
    std::erase_if( groups_,
                   [since]( auto const& group )
                   {
                       return group.adopted_at < since;
                   } );
    if ( on_changed )
        on_changed();
}

auto crash_history::count( suspect_id id ) const -> std::size_t
{
    return crashes_.contains( id ) ? unexplained( { id } ).size() : 0;
}

auto crash_history::crashes_of( suspect_id id ) const
    -> std::vector<target_crash>
{
    auto const found = crashes_.find( id );
    return found == crashes_.end() ? std::vector<target_crash>{}
                                   : found->second;
}

auto crash_history::has_suspect( suspect_list const& suspects ) const -> bool
{
    return std::any_of( suspects.begin(), suspects.end(),
                        [this]( auto const id )
                        {
                            return crashes_.contains( id );
                        } );
}

auto crash_history::find_quarantine( suspect_list const& suspects ) const
    -> suspect_list const*
{
    for ( auto const& group : groups_ )
        if ( contains_all( suspects, group.suspects ) )
            return &group.suspects;
    return nullptr;
}

auto crash_history::is_group( suspect_list const& suspects ) const -> bool
{
    return std::any_of( groups_.begin(), groups_.end(),
                        [&suspects]( auto const& group )
                        {
                            return group.suspects == suspects;
                        } );
}

auto crash_history::quarantined() const -> std::vector<quarantined_group>
{
    auto found = std::vector<quarantined_group>{};
    for ( auto const& group : groups_ )
        found.push_back( describe( group ) );
    return found;
}

auto crash_history::runs_of( content_id content,
                             suspect_list const& suspects ) const
    -> std::vector<crashed_run>
{
    auto runs = std::vector<crashed_run>{};
    for ( auto const& crash : crashes_of( suspect_of( content ) ) )
    {
        auto run = crashed_run{ {}, crash.target, crash.at };
        for ( auto const id : suspects )
        {
            auto const found = crashes_.find( id );
            if ( found != crashes_.end() &&
                 has_target( found->second, crash.target ) )
                run.suspects.push_back( id );
        }
        runs.push_back( std::move( run ) );
    }
    return runs;
}

auto crash_history::all() const -> std::vector<crashed_run>
{
    auto found = std::vector<crashed_run>{};
    for ( auto const& [id, crashes] : crashes_ )
    {
        auto request = suspect_list{ id };
        if ( auto const parts = parts_of_content_.find( id );
             parts != parts_of_content_.end() )
            request.insert( request.end(), parts->second.begin(),
                            parts->second.end() );
        if ( !is_prompt_part( id ) )
        {
            auto runs = runs_of( content_id( id.count() ), request );
            std::move( runs.begin(), runs.end(), std::back_inserter( found ) );
            continue;
        }
        for ( auto const& crash : crashes )
            found.push_back( { request, crash.target, crash.at } );
    }
    return found;
}

}
