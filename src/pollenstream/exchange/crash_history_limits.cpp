#include <pollenstream/exchange/crash_history.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

// The parts of `crash_history` that keep its memory bounded, whatever other
// instances report.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Number of suspects that are remembered. One crash of a target adds several
/// for each of its slots.
constexpr auto max_suspects = std::size_t{ 4'096 };
/// Number of suspects of which it is remembered when they were served.
constexpr auto max_served = std::size_t{ 16'384 };
/// If more than `max_served` were served, they are remembered for this time,
/// within which the reports of a crash arrive from all instances.
constexpr auto min_served_time = core::duration( 10s );
constexpr auto forget_served_period = core::duration( 1s );
/// If so many were served within that time, further ones are not remembered.
constexpr auto max_served_at_once = 4 * max_served;
/// Number of targets of which it is remembered that they crashed.
constexpr auto max_targets = std::size_t{ 4'096 };

}

/// The suspect with the fewest crashes goes, of these the one with the oldest,
/// but none that is quarantined.
auto crash_history::evict_if_full() -> void
{
    if ( crashes_.size() < max_suspects )
        return;
    auto const eviction_key = [this]( auto const& entry )
    {
        auto const& [id, crashes] = entry;
        return std::tuple( is_member( id ), crashes.size(), crashes.back().at );
    };
    auto const victim =
        std::min_element( crashes_.begin(), crashes_.end(),
                          [&]( auto const& a, auto const& b )
                          {
                              return eviction_key( a ) < eviction_key( b );
                          } );
    parts_of_content_.erase( victim->first );
    crashes_.erase( victim );
}

auto crash_history::known_parts() const -> std::size_t
{
    auto count = std::size_t{ 0 };
    for ( auto const& [content, parts] : parts_of_content_ )
        count += parts.size();
    return count;
}

/// The target that crashed last is remembered the longest.
auto crash_history::target_of( target_ref const& crashed ) -> known_target&
{
    if ( targets_.size() >= max_targets && !targets_.contains( crashed.id ) )
        targets_.erase( std::min_element( targets_.begin(), targets_.end(),
                                          []( auto const& a, auto const& b )
                                          {
                                              return a.second.crashed_at <
                                                     b.second.crashed_at;
                                          } ) );
    return targets_[crashed.id];
}

auto crash_history::note_served_at( suspect_id id, core::instant at ) -> void
{
    if ( !served_.contains( id ) && served_.size() >= max_served )
        forget_early_served( at );
    if ( !served_.contains( id ) && served_.size() >= max_served_at_once )
        return;
    auto& served = served_[id];
    served = std::max( served, at );
}

/// Does so once a second, since it looks at all.
auto crash_history::forget_early_served( core::instant now ) -> void
{
    if ( now - forgot_served_at_ < forget_served_period )
        return;
    forgot_served_at_ = now;
    std::erase_if( served_,
                   [now]( auto const& entry )
                   {
                       return now - entry.second > min_served_time;
                   } );
}

}
