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
/// Number of contents that are remembered. One crash of a target adds up to as
/// many as it has slots.
constexpr auto max_contents = std::size_t{ 2'048 };

}

crash_history::crash_history( core::duration expiry_time )
    : expiry_time_( expiry_time )
{
}

auto crash_history::evict_if_full() -> void
{
    if ( runs_.size() < max_contents )
        return;
    // The content with the fewest crashes goes, of these the oldest.
    auto const eviction_key = []( auto const& entry )
    {
        return std::pair( entry.second.size(), entry.second.back().at );
    };
    auto const victim =
        std::min_element( runs_.begin(), runs_.end(),
                          [&]( auto const& a, auto const& b )
                          {
                              return eviction_key( a ) < eviction_key( b );
                          } );
    quarantined_.erase( victim->first );
    runs_.erase( victim );
}

auto crash_history::erase_runs(
    std::function<bool( crashed_run const& )> const& which ) -> void
{
    for ( auto at = runs_.begin(); at != runs_.end(); )
    {
        std::erase_if( at->second, which );
        if ( at->second.size() < crashes_to_quarantine )
            quarantined_.erase( at->first );
        at = at->second.empty() ? runs_.erase( at ) : std::next( at );
    }
}

auto crash_history::note_crash( crashed_run const& run ) -> void
{
    auto const served = served_.find( run.content );
    if ( served != served_.end() && run.at <= served->second )
        return;
    auto const alive = alive_until_.find( run.target.id );
    if ( alive != alive_until_.end() && run.at < alive->second )
        return;
    if ( !runs_.contains( run.content ) )
        evict_if_full();
    auto& runs = runs_[run.content];
    for ( auto const& known : runs )
        if ( known.target == run.target )
            return;
    runs.push_back( run );
    auto& last_crash = last_crash_at_[run.target.id];
    last_crash = std::max( last_crash, run.at );
    if ( awaits_confirmation( run.content ) && on_confirmation_needed )
        on_confirmation_needed( run );
}

auto crash_history::confirm( content_id content ) -> void
{
    if ( !awaits_confirmation( content ) )
        return;
    quarantined_.insert( content );
    if ( on_quarantined )
        on_quarantined( content );
}

auto crash_history::note_alive( target_ref const& target, core::instant at )
    -> void
{
    auto& alive = alive_until_[target.id];
    alive = std::max( alive, at );
    erase_runs(
        [&]( auto const& run )
        {
            return run.target == target && run.at <= at;
        } );
}

auto crash_history::note_served( content_id content, core::instant at ) -> bool
{
    quarantined_.erase( content );
    if ( runs_.erase( content ) == 0 )
        return false;
    served_[content] = at;
    return true;
}

auto crash_history::note_answer( target_ref const& target, core::instant sent )
    -> void
{
    auto const last_crash = last_crash_at_.find( target.id );
    if ( last_crash == last_crash_at_.end() || last_crash->second >= sent )
        return;
    last_crash_at_.erase( last_crash );
    note_alive( target, sent );
}

auto crash_history::forget_since( core::instant since ) -> void
{
    erase_runs(
        [since]( auto const& run )
        {
            return run.at >= since;
        } );
}

auto crash_history::prune( core::instant now, is_listed const& listed ) -> void
{
    erase_runs(
        [&]( auto const& run )
        {
            auto const age = now - run.at;
            if ( age <= expiry_time_ || !listed( run.target ) )
                return age > retention_time;
            // Other instances may still report this crash.
            auto& alive = alive_until_[run.target.id];
            alive = std::max( alive, now - expiry_time_ );
            return true;
        } );
    for ( auto* const times : { &last_crash_at_, &alive_until_ } )
        std::erase_if( *times,
                       [&]( auto const& entry )
                       {
                           return now - entry.second > retention_time;
                       } );
    std::erase_if( served_,
                   [&]( auto const& entry )
                   {
                       return now - entry.second > retention_time;
                   } );
}

auto crash_history::crashes_of( content_id content ) const
    -> std::vector<crashed_run>
{
    auto const found = runs_.find( content );
    return found == runs_.end() ? std::vector<crashed_run>{} : found->second;
}

auto crash_history::count( content_id content ) const -> std::size_t
{
    auto const found = runs_.find( content );
    return found == runs_.end() ? 0 : found->second.size();
}

auto crash_history::quarantined() const -> std::vector<crashed_run>
{
    auto found = std::vector<crashed_run>{};
    for ( auto const content : quarantined_ )
    {
        auto const& runs = runs_.at( content );
        found.insert( found.end(), runs.begin(), runs.end() );
    }
    return found;
}

auto crash_history::quarantined_contents() const -> std::size_t
{
    return quarantined_.size();
}

auto crash_history::all() const -> std::vector<crashed_run>
{
    auto found = std::vector<crashed_run>{};
    for ( auto const& [content, runs] : runs_ )
        found.insert( found.end(), runs.begin(), runs.end() );
    return found;
}

}
