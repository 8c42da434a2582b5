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

/// A crash counts this long. Callers repeat a request for as long as it is
/// theirs; engines may have another version after some time.
constexpr auto kept_time = core::duration( 10min );
/// Contents that are remembered; an end breaks as many as a target has slots.
constexpr auto most_contents = std::size_t{ 2'048 };

}

crash_history::crash_history( core::duration lapse_time )
    : lapse_time_( lapse_time )
{
}

auto crash_history::make_room() -> void
{
    if ( runs_.size() < most_contents )
        return;
    // What has broken least often, and of that the oldest.
    auto const worth = []( auto const& entry )
    {
        return std::pair( entry.second.size(), entry.second.back().at );
    };
    auto const least = std::min_element( runs_.begin(), runs_.end(),
                                         [&]( auto const& a, auto const& b )
                                         {
                                             return worth( a ) < worth( b );
                                         } );
    proven_.erase( least->first );
    runs_.erase( least );
}

auto crash_history::erase_runs(
    std::function<bool( crashed_run const& )> const& which ) -> void
{
    for ( auto at = runs_.begin(); at != runs_.end(); )
    {
        std::erase_if( at->second, which );
        if ( at->second.size() < crashes_to_quarantine )
            proven_.erase( at->first );
        at = at->second.empty() ? runs_.erase( at ) : std::next( at );
    }
}

auto crash_history::note_crash( crashed_run const& what ) -> void
{
    auto const served = served_.find( what.content );
    if ( served != served_.end() && what.at <= served->second )
        return;
    auto const alive = alive_until_.find( what.target.id );
    if ( alive != alive_until_.end() && what.at < alive->second )
        return;
    if ( !runs_.contains( what.content ) )
        make_room();
    auto& runs = runs_[what.content];
    for ( auto const& known : runs )
        if ( known.target == what.target )
            return;
    runs.push_back( what );
    auto& broken = broken_at_[what.target.id];
    broken = std::max( broken, what.at );
    if ( awaits_proof( what.content ) && on_suspected )
        on_suspected( what );
}

auto crash_history::prove( content_id content ) -> void
{
    if ( !awaits_proof( content ) )
        return;
    proven_.insert( content );
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
    proven_.erase( content );
    if ( runs_.erase( content ) == 0 )
        return false;
    served_[content] = at;
    return true;
}

auto crash_history::note_answer( target_ref const& target, core::instant sent )
    -> void
{
    auto const broken = broken_at_.find( target.id );
    if ( broken == broken_at_.end() || broken->second >= sent )
        return;
    broken_at_.erase( broken );
    note_alive( target, sent );
}

auto crash_history::review( core::instant now, is_listed const& listed ) -> void
{
    erase_runs(
        [&]( auto const& run )
        {
            auto const age = now - run.at;
            if ( age <= lapse_time_ || !listed( run.target ) )
                return age > kept_time;
            // Others may still tell of the break.
            auto& alive = alive_until_[run.target.id];
            alive = std::max( alive, now - lapse_time_ );
            return true;
        } );
    for ( auto* const times : { &broken_at_, &alive_until_ } )
        std::erase_if( *times,
                       [&]( auto const& entry )
                       {
                           return now - entry.second > kept_time;
                       } );
    std::erase_if( served_,
                   [&]( auto const& entry )
                   {
                       return now - entry.second > kept_time;
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
    for ( auto const content : proven_ )
    {
        auto const& runs = runs_.at( content );
        found.insert( found.end(), runs.begin(), runs.end() );
    }
    return found;
}

auto crash_history::quarantined_contents() const -> std::size_t
{
    return proven_.size();
}

auto crash_history::all() const -> std::vector<crashed_run>
{
    auto found = std::vector<crashed_run>{};
    for ( auto const& [content, runs] : runs_ )
        found.insert( found.end(), runs.begin(), runs.end() );
    return found;
}

}
