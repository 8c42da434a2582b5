#include "support/limited_load.hpp"

#include <catch2/catch.hpp>

// Targets' limits hold while instances are lost, cut off and restarted, for few
// and for hundreds of instances. Limits are raised, lowered and ended by what
// targets report.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto limit_all( fleet_targets& service, std::optional<double> per_second )
    -> void
{
    for ( auto const& properties : service.properties() )
        service.announce_limit( properties.id, per_second );
}

auto check_windows( fleet_targets const& service,
                    core::instant from,
                    double max_count,
                    run_filter const& counts = {} ) -> void
{
    for ( auto const& properties : service.properties() )
        CHECK( max_in_window( service.runs, properties.id, from, counts ) <=
               max_count );
}

}

TEST_CASE( "a limit holds while one active coordinator after the other is lost",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    fleet.drop_every = GENERATE( 0, 5 );
    auto load = steady_load{ fleet, path };
    limit_all( load.service(), 1.3 );
    load.send_for( 4s, 20ms );
    auto const measured_from = fleet.scheduler.now();
    for ( auto i = 0; i < 8; ++i )
    {
        auto const active = active_coordinator( fleet );
        REQUIRE( active >= 0 );
        fleet.kill( active );
        load.send_for( 700ms, 20ms );
        fleet.restart( active );
        load.send_for( 600ms, 20ms );
    }
    check_windows( load.service(), measured_from, max_during_faults( 1.3 ) );
}

TEST_CASE( "a limit holds when all instances restart at once",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto load = steady_load{ fleet, path };
    limit_all( load.service(), 1.3 );
    load.send_for( 4s, 20ms );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.kill( i );
    fleet.scheduler.run( 300ms );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.restart( i );
    auto const started = fleet.scheduler.now();
    load.send_for( 10s, 20ms );
    check_windows( load.service(), started + 500ms, max_during_faults( 1.3 ) );
}

TEST_CASE(
    "an instance that is cut off from the others adds no limit of its own",
    "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto load = steady_load{ fleet, path };
    limit_all( load.service(), 1.3 );
    load.send_for( 4s, 20ms );
    auto const cut = active_coordinator( fleet );
    auto const measured_from = fleet.scheduler.now();
    fleet.cut( cut, true );
    load.send_for( 5s, 20ms );
    fleet.cut( cut, false );
    load.send_for( 4s, 20ms );
    auto const name = fleet.at( cut ).name;
    check_windows( load.service(), measured_from, max_during_faults( 1.3 ) );
    check_windows( load.service(), measured_from, max_by_limit( 1.3 ) + 1,
                   [&name]( auto const& run )
                   {
                       return run.instance != name;
                   } );
}

namespace
{

auto check_limits_of_many( int instances, std::string const& path ) -> void
{
    auto fleet = exchange_fleet( instances, 4, 2 );
    auto load = steady_load{ fleet, path };
    limit_all( load.service(), 2.7 );
    load.send_for( 5s, 20ms );
    auto const measured_from = fleet.scheduler.now();
    load.send_for( 6s, 20ms );
    check_windows( load.service(), measured_from, max_by_limit( 2.7 ) + 1 );
    for ( auto const& properties : load.service().properties() )
        CHECK( count_between( load.service().runs, properties.id, measured_from,
                              fleet.scheduler.now() ) >= 0.9 * 2.7 * 6 );
}

}

TEST_CASE( "a limit holds for many instances with low load each",
           "[exchange][limit]" )
{
    auto const instances = GENERATE( 30, 66 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    check_limits_of_many( instances, path );
}

TEST_CASE( "a limit holds for hundreds of instances", "[exchange][limit]" )
{
    check_limits_of_many( 300,
                          GENERATE( as<std::string>{}, "/chat/o", "/safe/o" ) );
}

TEST_CASE( "requests sent before a limit is known count in its window",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 6, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto load = steady_load{ fleet, path };
    load.send_for( 2s, 40ms );
    auto const limited = busiest_target( load.service() );
    load.service().announce_limit( limited, 1.3 );
    auto const limit_set_at = fleet.scheduler.now();
    load.send_for( 3s, 40ms );
    auto const before = count_between(
        load.service().runs, limited, limit_set_at - 1s, limit_set_at + 200ms );
    auto const whole = count_between( load.service().runs, limited,
                                      limit_set_at - 1s, limit_set_at + 3s );
    REQUIRE( before > 6 );
    CHECK( whole - before <= 1 );
}

TEST_CASE( "a limit ends when the target reports none any more",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 6, 3 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 1.3, 0.0 );
    auto load = steady_load{ fleet, path };
    load.send_for( 1s, 20ms );
    auto const limited = busiest_target( load.service() );
    load.service().announce_limit( limited, limit );
    // Other targets are preferred, and have capacity for all calls.
    load.send_for( 6s, 20ms );
    load.service().announce_limit( limited, std::nullopt );
    load.send_for( limit > 0 ? 8s : 20s, 20ms );
    auto const later = fleet.scheduler.now();
    load.send_for( 4s, 20ms );
    CHECK( count_between( load.service().runs, limited, later,
                          fleet.scheduler.now() ) > 10 );
    for ( auto i = 0; i < fleet.size(); ++i )
        CHECK_FALSE(
            fleet.at( i ).loads.find( limited )->limit.reported_per_second() );
}

TEST_CASE( "a restarted target has no limit from its former lifetime",
           "[exchange][limit]" )
{
    auto loads = exchange::load_table{};
    auto properties = make_target( "m1", "model" );
    loads.put( properties );
    auto const former =
        exchange::target_ref( properties.id, properties.lifetime );
    auto const now = core::instant( 100s );
    loads.note_limit( former, { 1.3, now, now }, now );
    REQUIRE( loads.find( properties.id )->limit.reported_per_second() );
    properties.lifetime =
        core::target_lifetime( properties.lifetime.count() + 1 );
    loads.put( properties );
    CHECK_FALSE( loads.find( properties.id )->limit.reported_per_second() );
    // A late update about the former lifetime.
    CHECK( loads.note_limit( former, { 1.3, now, now }, now ) ==
           exchange::limit_change::none );
    CHECK( loads.limited().empty() );
}

TEST_CASE( "a raised limit causes no burst, a lowered one applies at once",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 3, 2, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto load = steady_load{ fleet, path };
    auto const first = load.service().properties().front().id;
    limit_all( load.service(), 0.5 );
    load.send_for( 8s, 20ms );
    limit_all( load.service(), 4.0 );
    auto const raised = fleet.scheduler.now();
    load.send_for( 12s, 20ms );
    CHECK( max_in_window( load.service().runs, first, raised ) <=
           max_by_limit( 4.0 ) );
    CHECK( count_between( load.service().runs, first, raised + 6s,
                          raised + 12s ) >= 0.9 * 4 * 6 );
    limit_all( load.service(), 1.0 );
    auto const lowered = fleet.scheduler.now();
    load.send_for( 8s, 20ms );
    CHECK( max_in_window( load.service().runs, first, lowered + 1s ) <=
           max_by_limit( 1.0 ) + 1 );
}

TEST_CASE( "calls beyond all limits are refused at once with a Retry-After",
           "[exchange][limit]" )
{
    auto f = exchange_fixture{};
    auto const path = GENERATE( as<std::string>{}, "/safe/x", "/chat/x" );
    auto const now = f.scheduler.now();
    for ( auto const* id : { "m1", "m2", "m3", "p1", "p2" } )
        f.loads.note_limit( core::target_id( id ), { 0.2, now, now }, now );
    f.start( f.request( path ) );
    CHECK( f.targets.all.empty() );
    CHECK( f.answer->whole.status == 503 );
    auto const first = std::stod( f.answer->header( "Retry-After" ) );
    CHECK( first > 4 );
    CHECK( first < 5.5 );
    // Each refused caller gets a later retry time.
    f.start( f.request( path ) );
    auto const second = std::stod( f.answer->header( "Retry-After" ) );
    CHECK( second - first > 1 );
    CHECK( second - first < 3 );
}

TEST_CASE( "a limit above what a target can serve at once changes no choice",
           "[exchange][limit]" )
{
    auto const targets_with = []( std::optional<double> limit )
    {
        auto f = exchange_fixture{};
        auto const now = f.scheduler.now();
        for ( auto const* id : { "m2", "m3" } )
            f.loads.note_limit( core::target_id( id ), { limit, now, now },
                                now );
        f.scheduler.run( 1s );
        auto chosen = std::vector<core::target_id>{};
        for ( auto i = 0; i < 12; ++i )
            f.start( f.request( "/chat/x" ) );
        for ( auto const& sent : f.targets.all )
        {
            chosen.push_back( sent->request.target );
            sent->answer( 200, "" );
        }
        return chosen;
    };
    CHECK( targets_with( 400 ) == targets_with( std::nullopt ) );
}
