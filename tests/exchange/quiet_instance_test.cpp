#include "support/exchange_fleet.hpp"
#include <pollenstream/peers/caller_directory.hpp>

#include <catch2/catch.hpp>

#include <set>

// Instances that reach no target and get no calls.

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "an instance without any call knows of its cut within two seconds",
           "[exchange][path]" )
{
    auto fleet = exchange_fleet( GENERATE( 7, 63 ), 27, 9 );
    fleet.scheduler.run( 2s );
    auto const how = GENERATE( target_link::resets, target_link::hangs );
    auto const cut = std::set<int>{ 0, 1 };
    for ( auto const i : cut )
        fleet.set_target_link( i, how );
    fleet.scheduler.run( 2s );
    for ( auto i = 0; i < 4; ++i )
    {
        INFO( i );
        CHECK( fleet.at( i ).context.path.is_cut() == cut.contains( i ) );
    }
}

TEST_CASE( "an instance that starts behind a cut leaves the directory before "
           "any call",
           "[exchange][path]" )
{
    auto fleet = exchange_fleet( 7, 18, 6 );
    fleet.scheduler.run( 2s );
    fleet.set_target_link(
        0, GENERATE( target_link::resets, target_link::hangs ) );
    fleet.kill( 0 );
    fleet.restart( 0 );
    fleet.scheduler.run( 2s );
    CHECK( fleet.at( 0 ).context.path.is_cut() );
    auto const addresses = peers::choose_caller_addresses(
        fleet.at( 3 ).group, fleet.at( 3 ).ip + ":80", true );
    CHECK( addresses.size() == 6 );
}

TEST_CASE( "quiet instances keep each other in the directory while no target "
           "can be reached",
           "[exchange][path]" )
{
    auto fleet = exchange_fleet( 7, 18, 6 );
    fleet.scheduler.run( 2s );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.set_target_link( i, target_link::resets );
    fleet.scheduler.run( 20s );
    for ( auto i = 0; i < fleet.size(); ++i )
        CHECK( peers::choose_caller_addresses( fleet.at( i ).group,
                                               fleet.at( i ).ip + ":80", true )
                   .size() == 7 );
}
