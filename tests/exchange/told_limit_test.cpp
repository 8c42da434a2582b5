#include "support/limited_load.hpp"

#include <catch2/catch.hpp>

// What is asked: a target may name in its answers how many requests a second it
// takes from all instances together. It gets no more, and that many while work
// for it waits.

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "a target gets no more than it names from all instances together",
           "[exchange][limit]" )
{
    auto const instances = GENERATE( 1, 7 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 0.4, 1.3, 2.7 );
    auto fleet = exchange_fleet( instances, 6, 3 );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    auto calls = steady_calls{ fleet, path };
    calls.play( 2s, 20ms );
    auto const limited = busiest( service );
    service.announce_limit( limited, limit );
    auto const named = fleet.scheduler.now();
    calls.play( 12s, 20ms );
    fleet.scheduler.run( 3s );
    CHECK( most_in_window( service.runs, limited, named + 500ms ) <=
           within_limit( limit ) );
}

TEST_CASE( "targets that all name limits are used up to them",
           "[exchange][limit]" )
{
    auto const instances = GENERATE( 1, 7 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 1.3, 8.0 );
    auto fleet = exchange_fleet( instances, 3, 3 );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    for ( auto const& properties : service.properties() )
        service.announce_limit( properties.id, limit );
    auto calls = steady_calls{ fleet, path };
    calls.play( 6s, 20ms );
    auto const settled = fleet.scheduler.now();
    calls.play( 12s, 20ms );
    auto const end = fleet.scheduler.now();
    fleet.scheduler.run( 3s );
    for ( auto const& properties : service.properties() )
    {
        CHECK( most_in_window( service.runs, properties.id, settled ) <=
               within_limit( limit ) );
        CHECK( count_between( service.runs, properties.id, settled, end ) >=
               0.9 * limit * 12 );
    }
}
