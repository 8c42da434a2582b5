#include "support/limited_load.hpp"
#include "support/retry_sum.hpp"

#include <catch2/catch.hpp>

#include <utility>

// The retries of all instances together, over all their processes, stay within
// the retry budget while instances restart, join, are cut off from each other
// or lose their coordinators.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

struct fleet_size
{
    int instances;
    int engines;
    double retry_constant;
    core::duration request_interval;
};

auto any_size() -> fleet_size
{
    return GENERATE( fleet_size{ 1, 6, 102, 50ms },
                     fleet_size{ 7, 18, 102, 20ms },
                     fleet_size{ 66, 78, 208, 7ms } );
}

auto any_path() -> std::string
{
    return GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
}

/// A fleet whose targets fail most requests, and its callers.
struct failing_fleet
{
    failing_fleet( fleet_size const& s, std::string path )
        : size( s ), fleet( s.instances, s.engines, 4, s.retry_constant ),
          load{ fleet, std::move( path ) }
    {
    }

    auto begin_failures() -> void
    {
        fleet.engines.failures_in_ten = 9;
        fleet.plain.failures_in_ten = 9;
    }
    auto send_for( core::duration time ) -> void
    {
        load.send_for( time, size.request_interval );
    }
    /// Restarts nine in ten instances, and at least one.
    auto restart_most() -> void
    {
        for ( auto i = 0; i < fleet.size(); ++i )
            if ( i % 10 != 9 && fleet.is_running( i ) )
                fleet.kill( i );
        send_for( 300ms );
        for ( auto i = 0; i < fleet.size(); ++i )
            if ( !fleet.is_running( i ) )
                fleet.restart( i );
    }
    auto cut_all() -> void
    {
        for ( auto i = 0; i < fleet.size(); ++i )
            fleet.cut( i, true );
    }
    auto check_budget() -> void
    {
        auto const fullest = fullest_retry_window( fleet, load.path );
        INFO( fleet.size() << " instances, " << load.path );
        CHECK( fullest.retries <= fullest.allowed );
    }

    fleet_size size;
    exchange_fleet fleet;
    steady_load load;
};

}

TEST_CASE( "instances that restart do not exceed the retry budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    f.send_for( 11s );
    f.begin_failures();
    f.send_for( 4s );
    f.restart_most();
    f.send_for( 4s );
    f.restart_most();
    f.send_for( 8s );
    f.check_budget();
}

TEST_CASE( "instances cut off from each other do not exceed the retry budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    f.send_for( 2s );
    f.cut_all();
    f.fleet.scheduler.run( 40s );
    f.begin_failures();
    f.send_for( 12s );
    f.check_budget();
}

TEST_CASE( "instances that restart while cut off keep to the retry budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    f.send_for( 2s );
    f.cut_all();
    f.begin_failures();
    f.send_for( 4s );
    f.restart_most();
    f.cut_all();
    f.send_for( 22s );
    f.check_budget();
}

TEST_CASE( "hundreds of instances that restart while cut off keep to the retry "
           "budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( { 300, 150, 660, 4ms }, "/safe/o" );
    f.cut_all();
    f.begin_failures();
    f.send_for( 2s );
    f.restart_most();
    f.cut_all();
    f.send_for( 12s );
    f.check_budget();
}

TEST_CASE( "instances that join do not exceed the retry budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    for ( auto i = 0; i < f.fleet.size(); i += 2 )
        f.fleet.kill( i );
    f.fleet.scheduler.run( 40s );
    f.begin_failures();
    f.send_for( 4s );
    for ( auto i = 0; i < f.fleet.size(); i += 2 )
        f.fleet.restart( i );
    f.send_for( 14s );
    f.check_budget();
}

TEST_CASE( "the loss of coordinators does not exceed the retry budget",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    f.send_for( 11s );
    f.begin_failures();
    for ( auto i = 0; i < 6; ++i )
    {
        auto const active = active_coordinator( f.fleet );
        if ( active < 0 )
            break;
        f.fleet.kill( active );
        f.send_for( 1s );
        f.fleet.restart( active );
        f.send_for( 1s );
    }
    f.check_budget();
}

TEST_CASE( "the retry budget is used while no instance is lost",
           "[exchange][retries]" )
{
    auto f = failing_fleet( any_size(), any_path() );
    f.send_for( 11s );
    f.begin_failures();
    f.send_for( 12s );
    f.check_budget();
    auto const fullest = fullest_retry_window( f.fleet, f.load.path );
    CHECK( fullest.retries >= 0.75 * fullest.allowed );
}
