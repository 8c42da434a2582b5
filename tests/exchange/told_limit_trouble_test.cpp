#include "support/limited_load.hpp"

#include <catch2/catch.hpp>

// Limits of targets while instances are lost, cut off and started anew, at
// several sizes, and how limits end.

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

auto check_all( fleet_targets const& service,
                core::instant from,
                double most,
                run_filter const& counts = {} ) -> void
{
    for ( auto const& properties : service.properties() )
        CHECK( most_in_window( service.runs, properties.id, from, counts ) <=
               most );
}

}

TEST_CASE( "a limit holds while those who place for all are lost one by one",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    fleet.drop_every = GENERATE( 0, 5 );
    auto calls = steady_calls{ fleet, path };
    limit_all( calls.service(), 1.3 );
    calls.play( 4s, 20ms );
    auto const settled = fleet.scheduler.now();
    for ( auto i = 0; i < 8; ++i )
    {
        auto const first = first_coordinator( fleet );
        REQUIRE( first >= 0 );
        fleet.kill( first );
        calls.play( 700ms, 20ms );
        fleet.restart( first );
        calls.play( 600ms, 20ms );
    }
    check_all( calls.service(), settled, within_rule( 1.3 ) );
}

TEST_CASE( "a limit holds when all instances start anew at once",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto calls = steady_calls{ fleet, path };
    limit_all( calls.service(), 1.3 );
    calls.play( 4s, 20ms );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.kill( i );
    fleet.scheduler.run( 300ms );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.restart( i );
    auto const started = fleet.scheduler.now();
    calls.play( 10s, 20ms );
    check_all( calls.service(), started + 500ms, within_rule( 1.3 ) );
}

TEST_CASE( "instances that are cut off from the others do not add a limit each",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 3, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto calls = steady_calls{ fleet, path };
    limit_all( calls.service(), 1.3 );
    calls.play( 4s, 20ms );
    auto const cut = first_coordinator( fleet );
    auto const settled = fleet.scheduler.now();
    fleet.cut( cut, true );
    calls.play( 5s, 20ms );
    fleet.cut( cut, false );
    calls.play( 4s, 20ms );
    auto const name = fleet.at( cut ).name;
    check_all( calls.service(), settled, within_rule( 1.3 ) );
    check_all( calls.service(), settled, within_limit( 1.3 ) + 1,
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
    auto calls = steady_calls{ fleet, path };
    limit_all( calls.service(), 2.7 );
    calls.play( 5s, 20ms );
    auto const settled = fleet.scheduler.now();
    calls.play( 6s, 20ms );
    check_all( calls.service(), settled, within_limit( 2.7 ) + 1 );
    for ( auto const& properties : calls.service().properties() )
        CHECK( count_between( calls.service().runs, properties.id, settled,
                              fleet.scheduler.now() ) >= 0.9 * 2.7 * 6 );
}

}

TEST_CASE( "a limit holds for many instances with little work each",
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

TEST_CASE( "what was sent before a limit was known is paid back in its window",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 6, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto calls = steady_calls{ fleet, path };
    calls.play( 2s, 40ms );
    auto const limited = busiest( calls.service() );
    calls.service().announce_limit( limited, 1.3 );
    auto const named = fleet.scheduler.now();
    calls.play( 3s, 40ms );
    auto const before = count_between( calls.service().runs, limited,
                                       named - 1s, named + 200ms );
    auto const whole =
        count_between( calls.service().runs, limited, named - 1s, named + 3s );
    REQUIRE( before > 6 );
    CHECK( whole - before <= 1 );
}

TEST_CASE( "a limit ends when the target names none any more",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 7, 6, 3 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto const limit = GENERATE( 1.3, 0.0 );
    auto calls = steady_calls{ fleet, path };
    calls.play( 1s, 20ms );
    auto const limited = busiest( calls.service() );
    calls.service().announce_limit( limited, limit );
    // Others are chosen first, and have room for all.
    calls.play( 6s, 20ms );
    calls.service().announce_limit( limited, std::nullopt );
    calls.play( limit > 0 ? 8s : 20s, 20ms );
    auto const later = fleet.scheduler.now();
    calls.play( 4s, 20ms );
    CHECK( count_between( calls.service().runs, limited, later,
                          fleet.scheduler.now() ) > 10 );
    for ( auto i = 0; i < fleet.size(); ++i )
        CHECK_FALSE( fleet.at( i ).loads.find( limited )->limit.per_second() );
}

TEST_CASE( "a target that starts anew has no limit of before",
           "[exchange][limit]" )
{
    auto loads = exchange::load_table{};
    auto properties = make_target( "m1", "model" );
    loads.put( properties );
    auto const former =
        exchange::target_ref( properties.id, properties.lifetime );
    auto const now = core::instant( 100s );
    loads.note_limit( former, { 1.3, now, now }, now );
    REQUIRE( loads.find( properties.id )->limit.per_second() );
    properties.lifetime =
        core::target_lifetime( properties.lifetime.count() + 1 );
    loads.put( properties );
    CHECK_FALSE( loads.find( properties.id )->limit.per_second() );
    // News of the former one come late.
    CHECK( loads.note_limit( former, { 1.3, now, now }, now ) ==
           exchange::limit_change::none );
    CHECK( loads.limited().empty() );
}

TEST_CASE( "a higher limit releases nothing that was saved up, a lower one "
           "binds at once",
           "[exchange][limit]" )
{
    auto fleet = exchange_fleet( 3, 2, 2 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto calls = steady_calls{ fleet, path };
    auto const first = calls.service().properties().front().id;
    limit_all( calls.service(), 0.5 );
    calls.play( 8s, 20ms );
    limit_all( calls.service(), 4.0 );
    auto const raised = fleet.scheduler.now();
    calls.play( 12s, 20ms );
    CHECK( most_in_window( calls.service().runs, first, raised ) <=
           within_limit( 4.0 ) );
    CHECK( count_between( calls.service().runs, first, raised + 6s,
                          raised + 12s ) >= 0.9 * 4 * 6 );
    limit_all( calls.service(), 1.0 );
    auto const lowered = fleet.scheduler.now();
    calls.play( 8s, 20ms );
    CHECK( most_in_window( calls.service().runs, first, lowered + 1s ) <=
           within_limit( 1.0 ) + 1 );
}

TEST_CASE( "what limits leave no room for is refused at once, with a time to "
           "return",
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
    // Each caller has a moment of its own.
    f.start( f.request( path ) );
    auto const second = std::stod( f.answer->header( "Retry-After" ) );
    CHECK( second - first > 1 );
    CHECK( second - first < 3 );
}

TEST_CASE( "a limit beyond what a target serves at once changes no choice",
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
