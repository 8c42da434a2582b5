#include "support/limited_load.hpp"

#include <catch2/catch.hpp>

// A target may report in its answers how many requests a second it takes from
// all instances together. It must not get more than that, and it must get that
// many while requests wait for it.

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "all instances together keep a reported limit", "[exchange][limit]" )
{
    auto const instances = GENERATE( 1, 7 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 0.4, 1.3, 2.7 );
    auto fleet = exchange_fleet( instances, 6, 3 );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    auto load = steady_load{ fleet, path };
    load.send_for( 2s, 20ms );
    auto const limited = busiest_target( service );
    service.announce_limit( limited, limit );
    auto const limit_set_at = fleet.scheduler.now();
    load.send_for( 12s, 20ms );
    fleet.scheduler.run( 3s );
    CHECK( max_in_window( service.runs, limited, limit_set_at + 500ms ) <=
           max_by_limit( limit ) );
}

TEST_CASE( "targets that all report limits are used up to their limits",
           "[exchange][limit]" )
{
    auto const instances = GENERATE( 1, 7 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 1.3, 8.0 );
    auto fleet = exchange_fleet( instances, 3, 3 );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    for ( auto const& properties : service.properties() )
        service.announce_limit( properties.id, limit );
    auto load = steady_load{ fleet, path };
    load.send_for( 6s, 20ms );
    auto const measured_from = fleet.scheduler.now();
    load.send_for( 12s, 20ms );
    auto const end = fleet.scheduler.now();
    fleet.scheduler.run( 3s );
    for ( auto const& properties : service.properties() )
    {
        CHECK( max_in_window( service.runs, properties.id, measured_from ) <=
               max_by_limit( limit ) );
        CHECK( count_between( service.runs, properties.id, measured_from,
                              end ) >= 0.9 * limit * 12 );
    }
}
