#include "limited_load.hpp"

#include <algorithm>
#include <map>

namespace tests
{

auto max_in_window( std::vector<fleet_run> const& runs,
                    core::target_id const& target,
                    core::instant from,
                    run_filter const& counts,
                    core::duration window ) -> int
{
    auto times = std::vector<core::instant>{};
    for ( auto const& run : runs )
        if ( run.target == target && run.sent_at >= from &&
             ( !counts || counts( run ) ) )
            times.push_back( run.sent_at );
    auto max_count = std::ptrdiff_t{ 0 };
    for ( auto at = times.begin(); at != times.end(); ++at )
        max_count = std::max(
            max_count, std::upper_bound( at, times.end(), *at + window ) - at );
    return static_cast<int>( max_count );
}

auto count_between( std::vector<fleet_run> const& runs,
                    core::target_id const& target,
                    core::instant from,
                    core::instant until ) -> int
{
    return static_cast<int>( std::count_if( runs.begin(), runs.end(),
                                            [&]( auto const& run )
                                            {
                                                return run.target == target &&
                                                       run.sent_at >= from &&
                                                       run.sent_at < until;
                                            } ) );
}

auto max_by_limit( double per_second ) -> double
{
    return per_second * core::seconds_of( limit_window ) + 1;
}

auto max_during_faults( double per_second ) -> double
{
    return 1.5 * per_second * core::seconds_of( limit_window ) + 5;
}

auto steady_load::send_for( core::duration time, core::duration interval )
    -> void
{
    for ( auto at = core::duration( 0 ); at < time; at += interval )
    {
        ++sent;
        calls.push_back(
            fleet.call( sent % fleet.size(), path, std::to_string( sent ) ) );
        fleet.scheduler.run( interval );
    }
}

auto steady_load::service() const -> fleet_targets&
{
    return path.starts_with( "/chat/" ) ? fleet.engines : fleet.plain;
}

auto busiest_target( fleet_targets const& service ) -> core::target_id
{
    auto counts = std::map<core::target_id, int>{};
    for ( auto const& run : service.runs )
        ++counts[run.target];
    return std::max_element( counts.begin(), counts.end(),
                             []( auto const& a, auto const& b )
                             {
                                 return a.second < b.second;
                             } )
        ->first;
}

auto active_coordinator( exchange_fleet& fleet ) -> int
{
    for ( auto i = 0; i < fleet.size(); ++i )
        if ( fleet.is_running( i ) &&
             fleet.at( i ).group.coordinator_position() == 0 )
            return i;
    return -1;
}

}
