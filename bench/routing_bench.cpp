#include "routing_run.hpp"
#include <pollenstream/routing/policy_registry.hpp>

#include <docopt/docopt.h>

#include <atomic>
#include <iostream>
#include <sstream>
#include <thread>

namespace
{

constexpr auto usage =
    R"(Measures policies for the choice of targets; one row a run.

Usage:
  bench-routing [--mix=M] [--instances=N] [--policy=P] [--seed=S]
                [--chunk=N] [--threads=N]

Options:
  --mix=M        Only this mix.
  --instances=N  Only this number of instances; else 1, 8 and 64.
  --policy=P     Only this policy.
  --seed=S       Seed of the loads [default: 1].
  --chunk=N      Prompt tokens that an engine reads in one step
                 [default: 1024].
  --threads=N    Runs at once [default: 6].
)";

auto row_of( bench::run_plan const& plan,
             bench::run_result const& seen,
             bench::run_result const& alone ) -> std::string
{
    auto const slowdown = bench::quantile( seen.short_first_token, 0.95 ) /
                          bench::quantile( alone.short_first_token, 0.95 );
    auto row = std::ostringstream{};
    row.precision( 4 );
    row << "mix=" << plan.mix.name << " instances=" << plan.instances
        << " policy=" << plan.policy << " short_slowdown=" << slowdown;
    for ( auto i = std::size_t{ 0 }; i < bench::length_names.size(); ++i )
    {
        auto const& samples = seen.first_token[i];
        row << " ttft_p50_" << bench::length_names[i] << '='
            << bench::quantile( samples, 0.5 ) << " ttft_p95_"
            << bench::length_names[i] << '='
            << bench::quantile( samples, 0.95 );
    }
    row << " missed_deadlines=" << seen.missed_deadlines
        << " failed=" << seen.failed << " refused=" << seen.refused
        << " sent=" << seen.sent
        << " goodput=" << seen.prompt_tokens_done / seen.seconds
        << " memory_left=" << seen.memory_left;
    return row.str();
}

auto make_row( bench::run_plan const& plan ) -> std::string
{
    auto alone = plan;
    alone.mix = bench::shorts_alone( plan.mix );
    return row_of( plan, bench::run_load( plan ), bench::run_load( alone ) );
}

}

auto main( int argc, char** argv ) -> int
{
    auto const given = docopt::docopt( usage, { argv + 1, argv + argc } );
    auto const wanted =
        [&]( std::string const& option, std::string const& name )
    {
        auto const& value = given.at( option );
        return !value || value.asString() == name;
    };
    auto plans = std::vector<bench::run_plan>{};
    for ( auto const& mix : bench::all_mixes() )
    {
        for ( auto const instances : { 1, 8, 64 } )
        {
            for ( auto const policy : pollenstream::routing::policy_names() )
            {
                auto const is_wanted =
                    wanted( "--mix", mix.name ) &&
                    wanted( "--instances", std::to_string( instances ) ) &&
                    wanted( "--policy", std::string( policy ) );
                if ( is_wanted )
                    plans.push_back( { mix, instances, std::string( policy ),
                                       static_cast<std::uint64_t>(
                                           given.at( "--seed" ).asLong() ),
                                       given.at( "--chunk" ).asLong() } );
            }
        }
    }
    auto next = std::atomic<std::size_t>{ 0 };
    auto rows = std::vector<std::string>( plans.size() );
    auto workers = std::vector<std::thread>{};
    for ( auto i = 0L; i < given.at( "--threads" ).asLong(); ++i )
        workers.emplace_back(
            [&]
            {
                for ( auto at = next++; at < plans.size(); at = next++ )
                    rows[at] = make_row( plans[at] );
            } );
    for ( auto& worker : workers )
        worker.join();
    for ( auto const& row : rows )
        std::cout << row << '\n';
    return 0;
}
