#include "retry_sum.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace tests
{

namespace
{

auto retry_times( std::vector<fleet_run> const& runs )
    -> std::vector<core::instant>
{
    auto known = std::set<std::string>{};
    auto times = std::vector<core::instant>{};
    for ( auto const& run : runs )
        if ( !known.insert( run.attempt.str() ).second )
            times.push_back( run.sent_at );
    return times;
}

auto count_in( std::vector<core::instant> const& times,
               core::instant from,
               core::duration length ) -> int
{
    auto const begin = std::lower_bound( times.begin(), times.end(), from );
    auto const end = std::upper_bound( begin, times.end(), from + length );
    return static_cast<int>( end - begin );
}

}

auto fullest_retry_window( exchange_fleet& fleet, std::string const& path )
    -> retry_window
{
    auto const& service =
        path.starts_with( "/chat/" ) ? fleet.engines : fleet.plain;
    auto const& attempts = fleet.attempts[path];
    auto const& allowance = fleet.retry_allowance;
    auto const length = allowance.window;
    auto const times = retry_times( service.runs );
    auto fullest = retry_window{ {}, 0, allowance.constant };
    for ( auto const from : times )
    {
        auto const requests =
            std::max( { count_in( attempts, from, length ),
                        count_in( attempts, from - length / 2, length ),
                        count_in( attempts, from - length, length ) } );
        auto const window =
            retry_window{ from, count_in( times, from, length ),
                          allowance.ratio * requests + allowance.constant };
        if ( window.retries - window.allowed >
             fullest.retries - fullest.allowed )
            fullest = window;
    }
    return fullest;
}

}
