#include <pollenstream/peers/quiet_probe_schedule.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Without an answer for this long an instance is quiet: as soon as one with
/// requests would doubt its path.
constexpr auto quiet_time = core::duration( 1s );
/// The same once another instance is known to be cut off.
constexpr auto hastened_quiet_time = core::duration( 200ms );
constexpr auto min_period = core::duration( 1s );
/// Connections that all quiet instances together open to one target; they share
/// its accept queue with requests.
constexpr auto max_probes_per_target_and_second = std::size_t{ 4 };
/// The part of a period over which probes are spread that one event causes.
constexpr auto spread_part = 4;

auto random_delay( core::duration limit, std::minstd_rand& random )
    -> core::duration
{
    return core::duration( std::uniform_int_distribution<std::int64_t>(
        0, limit.count() )( random ) );
}

}

auto quiet_probe_schedule::period( probe_population const& all )
    -> core::duration
{
    auto const per_second = std::max<std::size_t>( 1, all.targets ) *
                            max_probes_per_target_and_second;
    return std::max( min_period,
                     core::duration( 1s ) *
                         static_cast<std::int64_t>( all.instances ) /
                         static_cast<std::int64_t>( per_second ) );
}

auto quiet_probe_schedule::is_due( core::instant now,
                                   core::instant last_answer,
                                   probe_population const& all,
                                   std::minstd_rand& random ) -> bool
{
    if ( all.targets == 0 )
        return false;
    auto const spread = period( all ) / spread_part;
    // All instances may have started together.
    if ( !next_at_ )
        next_at_ = now + random_delay( spread, random );
    auto const quiet_after = is_hastened_ ? hastened_quiet_time : quiet_time;
    if ( now < *next_at_ || now - last_answer < quiet_after )
        return false;
    next_at_ = now + period( all ) - random_delay( spread, random );
    is_hastened_ = false;
    return true;
}

auto quiet_probe_schedule::hasten( core::instant now,
                                   probe_population const& all,
                                   std::minstd_rand& random ) -> void
{
    if ( std::exchange( is_hastened_, true ) )
        return;
    auto const soon = now + random_delay( period( all ) / spread_part, random );
    next_at_ = std::min( next_at_.value_or( soon ), soon );
}

}
