#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

// An operator drains a data centre: nothing new is sent to its targets, and
// what runs there ends as usual.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Moves the targets to data centre `b`, which tests drain.
auto move_to_b( exchange_fixture& f, std::vector<std::string> const& ids )
    -> void
{
    for ( auto const& id : ids )
    {
        auto properties =
            make_target( id, id.starts_with( 'm' ) ? "model" : "plain" );
        properties.data_centre = core::data_centre_id( "b" );
        f.loads.put( properties );
    }
}

auto drain_b( exchange_fixture& f ) -> void
{
    f.loads.set_drained( core::data_centre_id( "b" ), true );
}

auto number_at( exchange_fixture const& f, std::string const& id )
    -> std::ptrdiff_t
{
    return std::count_if( f.targets.all.begin(), f.targets.all.end(),
                          [&id]( auto const& sent )
                          {
                              return sent->request.target ==
                                     core::target_id( id );
                          } );
}

}

TEST_CASE( "a drained data centre gets no new request of any kind",
           "[exchange][drain]" )
{
    auto f = exchange_fixture{};
    for ( auto const* id : { "m4", "m5", "m6" } )
        f.loads.put( make_target( id, "model" ) );
    move_to_b( f, { "m1", "m2", "p1" } );
    drain_b( f );
    auto const path = GENERATE( as<std::string>{}, "/chat/x", "/audit/x",
                                "/safe/x", "/unsafe/x" );
    for ( auto i = 0; i < 5; ++i )
    {
        auto request = f.request( path );
        if ( path == "/audit/x" )
            request.prompt = exchange::prompt_properties{ 100'000, 500, 0 };
        f.start( std::move( request ) );
        f.scheduler.run( 50ms );
    }
    REQUIRE_FALSE( f.targets.all.empty() );
    CHECK( number_at( f, "m1" ) + number_at( f, "m2" ) + number_at( f, "p1" ) ==
           0 );
    for ( auto const* id : { "m1", "m2" } )
    {
        auto const& helper =
            f.loads.find( core::target_id( id ) )->properties.address;
        for ( auto const& sent : f.targets.all )
            CHECK( sent->request.head->find( core::to_string( helper ) ) ==
                   std::string::npos );
    }
    for ( auto const& sent : std::vector( f.targets.all ) )
        sent->answer( 200, "" );
    f.scheduler.run( 20s );
}

TEST_CASE( "a retry and a resumption avoid a drained data centre",
           "[exchange][drain]" )
{
    auto f = exchange_fixture{};
    move_to_b( f, { "m1", "m2" } );
    f.loads.mark_gone( core::target_id( "m3" ) );
    f.start( f.request( "/chat/x" ) );
    auto& first = *f.targets.all.at( 0 );
    first.head( 200 );
    first.event( 1 );
    f.loads.put( make_target( "m3", "model" ) );
    drain_b( f );
    SECTION( "what runs there goes on" )
    {
        first.event( 2 );
        first.complete();
        CHECK( f.answer->ended );
        CHECK_FALSE( first.cancelled );
    }
    SECTION( "what breaks there is resumed elsewhere" )
    {
        first.lose();
        f.scheduler.run( 50ms );
        REQUIRE( f.targets.all.size() == 2 );
        CHECK( number_at( f, "m3" ) == 1 );
        CHECK( f.targets.all[1]->request.head->find( "after 1" ) !=
               std::string::npos );
        f.targets.all[1]->answer( 200, "" );
    }
    f.scheduler.run( 20s );
}

TEST_CASE( "where all targets are drained, callers are refused at once",
           "[exchange][drain]" )
{
    auto f = exchange_fixture{};
    move_to_b( f, { "m1", "m2", "m3", "p1", "p2" } );
    drain_b( f );
    auto const path = GENERATE( as<std::string>{}, "/chat/x", "/audit/x",
                                "/once/x", "/safe/x", "/unsafe/x" );
    f.start( f.request( path ) );
    CHECK( f.targets.all.empty() );
    CHECK( f.answer->whole.status == 503 );
    CHECK( f.answer->whole.body == "drained\n" );
    CHECK( std::stod( f.answer->header( "Retry-After" ) ) >= 1 );
    f.loads.set_drained( core::data_centre_id( "b" ), false );
    f.start( f.request( path ) );
    REQUIRE( f.targets.all.size() == 1 );
    f.targets.all[0]->answer( 200, "" );
}

TEST_CASE( "prompts that wait when all targets are drained are refused at once",
           "[exchange][drain]" )
{
    auto f = exchange_fixture{};
    move_to_b( f, { "m1", "m2", "m3" } );
    for ( auto i = 0; i < 60; ++i )
        f.start( f.request( "/chat/x" ) );
    REQUIRE( f.targets.all.size() == 48 );
    auto const waiting = f.coordinator.waiting();
    REQUIRE( waiting == 12 );
    drain_b( f );
    f.queue.schedule_round();
    f.scheduler.run( 50ms );
    CHECK( f.coordinator.waiting() == 0 );
    CHECK( f.answer->whole.body == "drained\n" );
    for ( auto const& sent : f.targets.all )
        CHECK_FALSE( sent->cancelled );
    for ( auto const& sent : std::vector( f.targets.all ) )
        sent->answer( 200, "" );
    CHECK( f.targets.all.size() == 48 );
}

TEST_CASE( "a grant at a data centre that was drained since is placed anew",
           "[exchange][drain]" )
{
    auto placements = held_placements{};
    auto f = exchange_fixture( placements );
    move_to_b( f, { "m1" } );
    f.start( f.request( "/chat/x" ) );
    REQUIRE( placements.all.size() == 1 );
    auto const m1 = f.loads.find( core::target_id( "m1" ) );
    auto grant = exchange::placement_grant{};
    grant.serial = placements.all[0].request.serial;
    grant.choice.targets = { m1 };
    grant.choice.parts = { { m1->properties.id, 20, 6'000 } };
    SECTION( "before it arrives" )
    {
        drain_b( f );
        placements.all[0].listener->on_granted( grant );
    }
    SECTION( "while memory is reserved" )
    {
        grant.choice.needs_reservation = true;
        placements.all[0].listener->on_granted( grant );
        REQUIRE( f.reservations.reserved.size() == 1 );
        drain_b( f );
        f.reservations.reserved[0].callback( core::success() );
        CHECK( f.reservations.released.size() == 1 );
    }
    CHECK( f.targets.all.empty() );
    f.scheduler.run( 500ms );
    CHECK( placements.released.size() == 1 );
    CHECK( placements.all.size() == 2 );
    f.scheduler.run( 20s );
}

TEST_CASE( "the shortest prefill counts no engines of drained data centres",
           "[exchange][drain]" )
{
    auto f = exchange_fixture{};
    for ( auto i = 4; i <= 20; ++i )
        f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
    move_to_b(
        f, { "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10" } );
    auto demand = exchange::placement_demand{};
    demand.service = core::service_id( "model" );
    demand.prompt_tokens = 300'000;
    auto service = exchange::service_settings{};
    service.engine = production_engine_speed();
    auto const with_all = f.chooser.shortest_prefill( demand, service );
    drain_b( f );
    // Seven in ten of 20 engines, then of 10.
    CHECK( core::seconds_of( f.chooser.shortest_prefill( demand, service ) ) ==
           Approx( 2 * core::seconds_of( with_all ) ).epsilon( 0.001 ) );
}
