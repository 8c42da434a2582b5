#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

// Coordinators learn the speeds of engines from the same updates. An instance
// that is lost must neither take this with it, nor make engines look slow.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto instance_count = 6;

/// A fleet under a steady load of short prompts, whose instances do regularly
/// what a gateway does.
struct learning_fleet
{
    learning_fleet()
    {
        for ( auto i = 0; i < fleet.size(); ++i )
            fleet.at( i ).loads.set_engine_models(
                fleet.configuration->engine_models(), fleet.scheduler.now() );
        run( 2s );
    }
    /// Sends a prompt each `interval` to one running instance after the other.
    auto run( core::duration time, core::duration interval = 25ms ) -> void
    {
        for ( auto at = core::duration( 0 ); at < time; at += interval )
        {
            tick();
            fleet.call( next_running(), "/chat/o", "prompt" );
            fleet.scheduler.run( interval );
        }
    }
    auto tick() -> void
    {
        auto const now = fleet.scheduler.now();
        for ( auto i = 0; i < fleet.size(); ++i )
            if ( fleet.is_running( i ) )
            {
                auto& one = fleet.at( i );
                one.loads.set_learns_speeds(
                    one.group.coordinator_position().has_value(), now );
                one.loads.expire_slowdowns( now );
            }
    }
    auto next_running() -> int
    {
        do
            next = ( next + 1 ) % fleet.size();
        while ( !fleet.is_running( next ) );
        return next;
    }
    [[nodiscard]] auto at_position( int position ) -> int
    {
        for ( auto i = 0; i < fleet.size(); ++i )
            if ( fleet.is_running( i ) &&
                 fleet.at( i ).group.coordinator_position() == position )
                return i;
        return -1;
    }
    [[nodiscard]] auto slowed( int instance ) -> std::size_t
    {
        return fleet.at( instance ).loads.slowed().size();
    }

    exchange_fleet fleet{ instance_count, 6, 2 };
    int next{ 0 };
};

}

TEST_CASE( "the next coordinator knows the slow engines of a lost one",
           "[scheduling][speeds][fleet]" )
{
    auto f = learning_fleet{};
    CHECK( f.slowed( f.at_position( 0 ) ) == 0 );
    f.fleet.engines.time.prefill = 900ms;
    f.run( 4s );
    auto const active = f.at_position( 0 );
    auto const standby = f.at_position( 1 );
    CHECK( f.slowed( active ) > 0 );
    CHECK( f.slowed( standby ) > 0 );
    for ( auto i = 0; i < f.fleet.size(); ++i )
        if ( !f.fleet.at( i ).group.coordinator_position() )
            CHECK( f.slowed( i ) == 0 );
    f.fleet.kill( active );
    CHECK( f.slowed( standby ) > 0 );
}

TEST_CASE( "no engine counts as slow because coordinators are lost or cut off",
           "[scheduling][speeds][fleet]" )
{
    auto f = learning_fleet{};
    SECTION( "the active one is lost" )
    {
        f.fleet.kill( f.at_position( 0 ) );
    }
    SECTION( "two are lost" )
    {
        auto const second = f.at_position( 1 );
        f.fleet.kill( f.at_position( 0 ) );
        f.fleet.kill( second );
    }
    SECTION( "the active one is cut off for a second" )
    {
        auto const active = f.at_position( 0 );
        f.fleet.cut( active, true );
        f.run( 1s );
        f.fleet.cut( active, false );
    }
    SECTION( "each fourth datagram is lost" )
    {
        f.fleet.drop_every = 4;
    }
    for ( auto i = 0; i < 40; ++i )
    {
        f.run( 100ms );
        for ( auto at = 0; at < f.fleet.size(); ++at )
            if ( f.fleet.is_running( at ) )
            {
                CAPTURE( i, at );
                CHECK( f.slowed( at ) == 0 );
            }
    }
}
