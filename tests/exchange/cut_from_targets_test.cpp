#include "support/directory_callers.hpp"
#include "support/limited_load.hpp"
#include <pollenstream/peers/caller_directory.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <utility>

// Some or all instances lose the path to all targets, while callers, the store
// and the other instances still reach them.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto call_interval = core::duration( 20ms );
/// Time after the start of a cut from which callers of the instances that are
/// cut have to be served elsewhere.
constexpr auto time_to_adapt = core::duration( 3s );

/// Time in which all calls end.
constexpr auto time_to_finish = core::duration( 11s );

struct cut_fleet
{
    auto send_for( core::duration time ) -> void
    {
        callers.send_for( time, call_interval );
    }
    auto cut( std::set<int> which, target_link how ) -> void
    {
        cut_at = fleet.scheduler.now();
        cut_instances = std::move( which );
        for ( auto const i : cut_instances )
            fleet.set_target_link( i, how );
    }
    auto heal() -> void
    {
        for ( auto const i : cut_instances )
            fleet.set_target_link( i, target_link::sound );
    }
    /// The active coordinator and the instances after it.
    auto instances_from_coordinator( int count ) -> std::set<int>
    {
        auto chosen = std::set<int>{};
        auto const first = active_coordinator( fleet );
        for ( auto i = 0; i < count; ++i )
            chosen.insert( ( first + i ) % fleet.size() );
        return chosen;
    }
    auto check_first_attempts( core::instant from ) -> void
    {
        fleet.scheduler.run( time_to_finish );
        auto const is_cut = [this]( int i )
        {
            return cut_instances.contains( i );
        };
        auto const cut = callers.count( from, is_cut );
        auto const others = callers.count( from, std::not_fn( is_cut ) );
        INFO( cut.served << " of " << cut.sent << " served at instances that "
                         << "are cut, " << others.served << " of "
                         << others.sent << " at the others" );
        auto const failed = cut.sent - cut.served;
        auto const may_fail = 10 + ( cut.sent + others.sent ) / 50;
        auto const is_fair =
            cut.served * others.sent * 3 >= others.served * cut.sent * 2;
        CHECK( ( is_fair || failed <= may_fail ) );
        CHECK( others.served * 10 >= others.sent * 9 );
    }

    exchange_fleet fleet{ 7, 18, 3 };
    directory_callers callers{ fleet };
    core::instant cut_at;
    std::set<int> cut_instances;
};

auto any_cut() -> target_link
{
    return GENERATE( target_link::resets, target_link::hangs,
                     target_link::refuses_new );
}

}

TEST_CASE( "callers of instances that reach no target are served elsewhere",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    f.cut( f.instances_from_coordinator( GENERATE( 1, 3, 5 ) ), any_cut() );
    f.send_for( 12s );
    f.check_first_attempts( f.cut_at + time_to_adapt );
}

TEST_CASE( "failures of instances that reach no target eject none at others",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    f.cut( f.instances_from_coordinator( 4 ),
           GENERATE( target_link::resets, target_link::hangs ) );
    f.send_for( 4s );
    for ( auto i = 0; i < f.fleet.size(); ++i )
    {
        if ( f.cut_instances.contains( i ) )
            continue;
        CHECK( f.fleet.at( i ).log.count_changes( "target", "ejected" ) == 0 );
    }
}

TEST_CASE( "callers return to instances that reach targets again",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    f.cut( f.instances_from_coordinator( 3 ), any_cut() );
    f.send_for( 4s );
    f.heal();
    f.send_for( 4s );
    auto const from = f.fleet.scheduler.now();
    f.send_for( 4s );
    f.check_first_attempts( from );
    auto const at_healed =
        f.callers.count( from,
                         [&]( int i )
                         {
                             return f.cut_instances.contains( i );
                         } );
    CHECK( at_healed.sent >= 40 );
}

TEST_CASE( "the directory names instances also while none reaches a target",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    f.cut( { 0, 1, 2, 3, 4, 5, 6 },
           GENERATE( target_link::resets, target_link::hangs ) );
    f.send_for( 4s );
    for ( auto i = 0; i < f.fleet.size(); ++i )
        CHECK_FALSE( peers::choose_caller_addresses( f.fleet.at( i ).group,
                                                     f.fleet.at( i ).ip + ":80",
                                                     true )
                         .empty() );
    f.heal();
    f.send_for( 2s );
    auto const from = f.fleet.scheduler.now();
    f.send_for( 3s );
    f.fleet.scheduler.run( time_to_finish );
    auto const all = f.callers.count( from,
                                      []( int )
                                      {
                                          return true;
                                      } );
    CHECK( all.served * 10 >= all.sent * 9 );
}

TEST_CASE( "targets that are silent for a second or lost are no cut of an "
           "instance",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    SECTION( "an engine is silent" )
    {
        f.fleet.engines.fall_silent( f.fleet.engines.properties()[0].id, 1s );
    }
    SECTION( "all targets are silent" )
    {
        for ( auto const* service : { &f.fleet.engines, &f.fleet.plain } )
            for ( auto const& t : service->properties() )
                f.fleet.targets_of( t.address ).fall_silent( t.id, 1s );
    }
    SECTION( "most engines crash" )
    {
        auto const all = f.fleet.engines.properties();
        for ( auto i = std::size_t{ 0 }; i < 14; ++i )
            f.fleet.engines.crash( all[i].id );
    }
    f.send_for( 6s );
    for ( auto i = 0; i < f.fleet.size(); ++i )
        CHECK( peers::choose_caller_addresses(
                   f.fleet.at( i ).group, f.fleet.at( i ).ip + ":80", true )
                   .size() == 7 );
}

TEST_CASE( "a cut from targets beside lost instances leaves callers served",
           "[exchange][reach]" )
{
    auto f = cut_fleet{};
    f.send_for( 3s );
    f.cut( f.instances_from_coordinator( 3 ), any_cut() );
    f.send_for( 1s );
    auto const lost = active_coordinator( f.fleet );
    f.fleet.kill( lost );
    f.send_for( 1s );
    f.fleet.restart( lost );
    f.send_for( 8s );
    f.check_first_attempts( f.cut_at + 5s );
}
