#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

// A target that turns a request away may ask the sending instance to pause,
// that is, to send it nothing for a given time. Other instances are not
// affected.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto turn_away_for( sent_request& request, core::duration pause ) -> void
{
    auto head = exchange::answer_head{};
    head.status = 503;
    head.proves_not_run = true;
    head.requested_pause = pause;
    request.listener->on_head( std::move( head ) );
    request.complete();
}

auto count_of( recorded_targets const& targets, core::target_id const& id )
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if( targets.all.begin(), targets.all.end(),
                       [&id]( auto const& sent )
                       {
                           return sent->request.target == id;
                       } ) );
}

}

TEST_CASE(
    "a target that asks for a pause gets no request until the pause ends",
    "[exchange][pause]" )
{
    auto f = exchange_fixture{};
    auto const path = GENERATE( as<std::string>{}, "/safe/x", "/chat/x" );
    f.start( f.request( path ) );
    auto const paused = f.targets.all[0]->request.target;
    turn_away_for( *f.targets.all[0], 2s );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->answer( 200, "" );
    auto const start = f.scheduler.now();
    while ( f.scheduler.now() < start + 1900ms )
    {
        f.start( f.request( path ) );
        f.targets.all.back()->answer( 200, "" );
        f.scheduler.run( 50ms );
    }
    CHECK( count_of( f.targets, paused ) == 1 );
    f.scheduler.run( 200ms );
    for ( auto const* id : { "m1", "m2", "m3", "p1", "p2" } )
        if ( core::target_id( id ) != paused )
            f.loads.mark_gone( core::target_id( id ) );
    f.start( f.request( path ) );
    f.scheduler.run( 100ms );
    CHECK( count_of( f.targets, paused ) == 2 );
    f.targets.all.back()->answer( 200, "" );
}

TEST_CASE( "if all targets have asked for a pause callers wait or are refused",
           "[exchange][pause]" )
{
    auto f = exchange_fixture{};
    auto const pause_all = [&f]( core::duration pause )
    {
        f.start( f.request( "/safe/x" ) );
        turn_away_for( *f.targets.all[0], pause );
        turn_away_for( *f.targets.all[1], pause );
        REQUIRE( f.answer->whole.status == 503 );
    };
    SECTION(
        "a long pause: refused at once, with the rest of it as Retry-After" )
    {
        pause_all( 3s );
        f.answer->whole.status = 0;
        f.start( f.request( "/safe/x" ) );
        CHECK( f.targets.all.size() == 2 );
        CHECK( f.answer->whole.status == 503 );
        auto const seconds = std::stod( f.answer->header( "Retry-After" ) );
        CHECK( seconds > 2.5 );
        CHECK( seconds < 3.5 );
    }
    SECTION( "a short pause: they wait until it ends" )
    {
        pause_all( 120ms );
        f.answer->whole.status = 0;
        f.start( f.request( "/safe/x" ) );
        CHECK( f.targets.all.size() == 2 );
        CHECK( f.answer->whole.status == 0 );
        f.scheduler.run( 200ms );
        REQUIRE( f.targets.all.size() == 3 );
        f.targets.all[2]->answer( 200, "" );
        CHECK( f.answer->whole.status == 200 );
    }
}

TEST_CASE( "a prompt waits at the coordinator until its instance's pause ends",
           "[exchange][pause]" )
{
    auto f = exchange_fixture{};
    for ( auto const* id : { "m2", "m3" } )
        f.loads.mark_gone( core::target_id( id ) );
    f.start( f.request( "/chat/x" ) );
    REQUIRE( f.targets.all.size() == 1 );
    turn_away_for( *f.targets.all[0], 400ms );
    CHECK( f.answer->whole.status == 0 );
    f.scheduler.run( 300ms );
    CHECK( f.targets.all.size() == 1 );
    f.start( f.request( "/chat/y" ) );
    f.scheduler.run( 50ms );
    CHECK( f.targets.all.size() == 1 );
    f.scheduler.run( 150ms );
    // Only the second prompt is sent: the first has already tried the only
    // target that is left.
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->answer( 200, "" );
    f.scheduler.run( 10s );
    CHECK( f.context.open.empty() );
}

TEST_CASE( "a pause asked of one instance does not stop the others",
           "[exchange][pause]" )
{
    auto fleet = exchange_fleet( 3, 6, 2 );
    auto const first = fleet.plain.properties().front().id;
    fleet.plain.reject_next( first, "n1", 2s );
    auto number = 0;
    auto const start = fleet.scheduler.now();
    while ( fleet.scheduler.now() < start + 1900ms )
    {
        ++number;
        fleet.call( number % fleet.size(), "/safe/o",
                    std::to_string( number ) );
        fleet.scheduler.run( 10ms );
    }
    fleet.scheduler.run( 2s );
    auto by_instance = std::map<std::string, int>{};
    for ( auto const& run : fleet.plain.runs )
        if ( run.target == first )
            ++by_instance[run.instance];
    CHECK( by_instance["n1"] <= 1 );
    CHECK( by_instance["n2"] > 10 );
    CHECK( by_instance["n3"] > 10 );
}
