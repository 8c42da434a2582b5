#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

// Prompts in a region whose data centres are far apart. An answer that crosses
// to another data centre is late by the longer way, and its bytes are paid for.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto engines_per_data_centre = 6;

/// Three data centres with six engines each, and short prompts from "b".
struct three_data_centres
{
    three_data_centres()
    {
        for ( auto i = 0; i < 3 * engines_per_data_centre; ++i )
        {
            auto target = make_target( "m" + std::to_string( i ), "model" );
            target.data_centre = core::data_centre_id(
                std::string( 1, static_cast<char>( 'a' + i % 3 ) ) );
            loads.put( target );
        }
        service.id = core::service_id( "model" );
        service.engine = production_engine_speed();
        service.prefers_own_data_centre = true;
    }

    /// Places a short prompt and returns the data centre of its engine.
    auto place() -> std::string
    {
        auto demand = exchange::placement_demand{};
        demand.service = service.id;
        demand.data_centre = core::data_centre_id( "b" );
        demand.prompt_tokens = 5'000;
        demand.output_tokens = 1'600;
        demand.latency_objective = 300ms;
        demand.gap_objective = 200ms;
        demand.min_gap_objective = 200ms;
        demand.time_left = 10s;
        demand.patience_left = 10s;
        auto const result = chooser.choose( demand, service, now );
        REQUIRE( result.choice );
        auto work = exchange::open_work{};
        work.serial = ++serial;
        work.parts = result.choice->parts;
        work.context_tokens = demand.prompt_tokens;
        work.tolerated_gap_ms = 200;
        loads.add_work( self, work, now );
        return result.choice->targets.front()->properties.data_centre.str();
    }

    auto place_many( int count ) -> std::multiset<std::string>
    {
        auto placed = std::multiset<std::string>{};
        for ( auto i = 0; i < count; ++i )
            placed.insert( place() );
        return placed;
    }

    exchange::load_table loads;
    // The decision is made in another data centre than the prompts come from.
    exchange::placement chooser{ loads, core::data_centre_id( "a" ) };
    exchange::service_settings service;
    core::instance_id self{ "self" };
    core::instant now{ 100s };
    std::uint64_t serial{ 0 };
};

/// A configuration with one stream whose latency objective is 300 ms.
auto configuration_with_delay( core::duration delay )
    -> exchange::route_configuration
{
    auto c = exchange::route_configuration{};
    auto settings = exchange::service_settings{};
    settings.id = core::service_id( "model" );
    settings.data_centre_delay = delay;
    c.services.emplace( settings.id, settings );
    auto r = exchange::route{};
    r.kind = exchange::request_kind::stream;
    r.latency_objective = 300ms;
    r.services.push_back( { settings.id, 1 } );
    c.routes.push_back( r );
    c.index_routes();
    return c;
}

}

TEST_CASE( "short prompts stay in the data centre that received them",
           "[placement][data-centre]" )
{
    auto f = three_data_centres{};
    SECTION( "while its engines can serve them in time" )
    {
        CHECK( f.place_many( 12 ).count( "b" ) == 12 );
    }
    SECTION( "and go elsewhere beyond that" )
    {
        // All arrive at once, so that its engines are full after some of them;
        // they get no less than an equal share.
        auto const placed = f.place_many( 80 );
        CHECK( placed.count( "b" ) >= 80 / 3 );
        CHECK( placed.count( "a" ) + placed.count( "c" ) >= 20 );
    }
    SECTION( "and come back once there is capacity" )
    {
        f.place_many( 80 );
        f.loads.end_all_work( f.self, f.now );
        CHECK( f.place_many( 6 ).count( "b" ) == 6 );
    }
    SECTION( "but not if its engines take no work" )
    {
        f.loads.set_drained( core::data_centre_id( "b" ), true );
        CHECK( f.place_many( 6 ).count( "b" ) == 0 );
    }
}

TEST_CASE(
    "the data centre plays no part where the configuration has no reason",
    "[placement][data-centre]" )
{
    auto f = three_data_centres{};
    f.service.prefers_own_data_centre = false;
    auto const placed = f.place_many( 12 );
    CHECK( placed.count( "b" ) < 12 );
}

TEST_CASE(
    "a service prefers the own data centre if round trips are noticeable",
    "[placement][data-centre]" )
{
    auto const id = core::service_id( "model" );
    CHECK( configuration_with_delay( 3'400us )
               .find_service( id )
               ->prefers_own_data_centre );
    // 2 ms of 300 ms is no reason to give up the choice among all engines.
    CHECK_FALSE( configuration_with_delay( 1ms )
                     .find_service( id )
                     ->prefers_own_data_centre );
}

TEST_CASE( "a plain call that is placed for another instance stays near it",
           "[placement][data-centre]" )
{
    auto f = three_data_centres{};
    f.service.engine.reset();
    CHECK( f.place() == "b" );
}
