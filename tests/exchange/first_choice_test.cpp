#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

// Instances that know nothing of each other's work choose targets in the same
// order. If all began at its start, they would all choose the same few.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto instances = 60;
constexpr auto targets = 40;

auto shares_of( int instance, bool knows_all_work ) -> exchange::limit_shares
{
    auto shares = exchange::limit_shares{};
    shares.phase = static_cast<double>( instance ) / instances;
    shares.knows_all_work = knows_all_work;
    return shares;
}

/// Number of requests at the busiest target if each instance places one by
/// itself.
auto busiest_of_choices( std::string const& service,
                         exchange::limit_use use,
                         bool knows_all_work ) -> int
{
    auto chosen = std::map<core::target_id, int>{};
    auto settings = exchange::service_settings{};
    settings.id = core::service_id( service );
    if ( service == "model" )
        settings.engine = production_engine_speed();
    for ( auto i = 0; i < instances; ++i )
    {
        auto loads = exchange::load_table{};
        for ( auto t = 0; t < targets; ++t )
            loads.put( make_target( "t" + std::to_string( t ), service ) );
        loads.set_limit_shares( shares_of( i, knows_all_work ) );
        auto const chooser =
            exchange::placement( loads, core::data_centre_id( "a" ) );
        auto demand = exchange::placement_demand{};
        demand.service = settings.id;
        demand.prompt_tokens = service == "model" ? 5'000 : 0;
        demand.output_tokens = 1'600;
        demand.latency_objective = 300ms;
        demand.gap_objective = 200ms;
        demand.min_gap_objective = 200ms;
        demand.limits = use;
        demand.draw = 0.5;
        auto const result =
            chooser.choose( demand, settings, core::instant( 100s ) );
        REQUIRE( result.choice );
        ++chosen[result.choice->targets.front()->properties.id];
    }
    return std::max_element( chosen.begin(), chosen.end(),
                             []( auto const& a, auto const& b )
                             {
                                 return a.second < b.second;
                             } )
        ->second;
}

}

TEST_CASE( "instances that place by themselves choose different targets",
           "[placement]" )
{
    using exchange::limit_use;
    auto const service = GENERATE( as<std::string>{}, "model", "plain" );
    // Sixty requests at forty targets.
    CHECK( busiest_of_choices( service, limit_use::uncoordinated, true ) <= 2 );
    CHECK( busiest_of_choices( service, limit_use::coordinated, false ) <= 2 );
    // One that knows the work of all packs from the start of the order, as the
    // coordinators before and after it do.
    CHECK( busiest_of_choices( service, limit_use::coordinated, true ) ==
           instances );
}

TEST_CASE( "when all instances restart at once, no engine gets most prompts",
           "[placement]" )
{
    auto fleet = exchange_fleet( 60, targets, 2 );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.kill( i );
    fleet.scheduler.run( 300ms );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.restart( i );
    // Each instance gets a prompt before it knows the others.
    fleet.drop_every = 1;
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.call( i, "/chat/o", std::to_string( i ) );
    fleet.scheduler.run( 200ms );
    auto by_target = std::map<core::target_id, int>{};
    for ( auto const& run : fleet.engines.runs )
        ++by_target[run.target];
    auto max_count = 0;
    for ( auto const& [id, count] : by_target )
        max_count = std::max( max_count, count );
    CHECK( fleet.engines.runs.size() == 60 );
    CHECK( max_count <= 6 );
    fleet.drop_every = 0;
    fleet.scheduler.run( 20s );
}
