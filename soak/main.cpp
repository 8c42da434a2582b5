#include "schedule_run.hpp"

#include <docopt/docopt.h>

#include <chrono>
#include <iostream>

namespace
{

constexpr auto usage =
    R"(Randomised runs: drawn faults over real sessions and in-process engines.

Usage:
  pollenstream-soak [--seed=N] [--seconds=S] [--schedules=N]

Options:
  --seed=N       First seed; each schedule takes the next [default: 1].
  --seconds=S    Stop after this time [default: 60].
  --schedules=N  Stop after this many schedules [default: 1000000].

Exit status 1 where an invariant was violated; the seed and the shortest
schedule that still shows it are printed.
)";

}

auto main( int argc, char** argv ) -> int
{
    using steady = std::chrono::steady_clock;
    auto const given = docopt::docopt( usage, { argv + 1, argv + argc } );
    auto const first =
        static_cast<std::uint64_t>( given.at( "--seed" ).asLong() );
    auto const most = given.at( "--schedules" ).asLong();
    auto const end = steady::now() +
                     std::chrono::seconds( given.at( "--seconds" ).asLong() );
    auto total = soak::run_report{};
    auto count = 0L;
    while ( count < most && steady::now() < end )
    {
        auto const schedule =
            soak::draw_schedule( first + static_cast<std::uint64_t>( count ) );
        auto const report = soak::run_schedule( schedule );
        ++count;
        total.complete += report.complete;
        total.failed += report.failed;
        total.not_run += report.not_run;
        total.hash = total.hash * 31 + report.hash;
        for ( auto i = std::size_t{ 0 }; i < total.steps.size(); ++i )
            total.steps[i] += report.steps[i];
        if ( report.violations.empty() )
            continue;
        std::cout << report.violations.front() << '\n'
                  << to_string( soak::shorten( schedule ) )
                  << "violations=" << report.violations.size() << '\n';
        return 1;
    }
    std::cout << "seeds=" << first << ".." << first + count - 1
              << " complete=" << total.complete << " failed=" << total.failed
              << " not_run=" << total.not_run;
    for ( auto i = std::size_t{ 0 }; i < total.steps.size(); ++i )
        std::cout << ' ' << name_of( static_cast<soak::step_kind>( i ) ) << '='
                  << total.steps[i];
    std::cout << " hash=" << std::hex << total.hash << std::dec
              << " violations=0\n";
    return 0;
}
