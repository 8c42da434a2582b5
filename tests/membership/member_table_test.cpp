#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/membership/rendezvous.hpp>
#include <pollenstream/membership/target_selection.hpp>

#include <catch2/catch.hpp>

#include <gossip_fleet.hpp>
#include <set>

using namespace std::chrono_literals;
using standins::gossip_fleet;
namespace core = pollenstream::core;
namespace membership = pollenstream::membership;
namespace ports = pollenstream::ports;
using membership::member_phase;

namespace
{

auto const start = core::instant( 100s );

auto named( std::string const& id, std::int64_t incarnation = 1 )
    -> membership::member
{
    auto m = membership::member{};
    m.id = core::instance_id( id );
    m.incarnation = core::incarnation( incarnation );
    return m;
}

}

TEST_CASE( "a suspect that does not refute is gone", "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto const other = core::instance_id( "other" );
    table.merge( named( "other" ), start );
    table.note_silence( other, start );
    CHECK( table.find( other )->phase == member_phase::suspect );

    SECTION( "after its time" )
    {
        table.expire( start + 5s );
        CHECK( table.find( other )->phase == member_phase::gone );
    }
    SECTION( "unless it refutes" )
    {
        auto refuted = named( "other" );
        refuted.version = 1;
        table.merge( refuted, start + 1s );
        table.expire( start + 5s );
        CHECK( table.find( other )->phase == member_phase::alive );
    }
    SECTION( "and comes back only as a later incarnation" )
    {
        table.expire( start + 5s );
        table.merge( named( "other" ), start + 6s );
        CHECK( table.find( other )->phase == member_phase::gone );
        table.merge( named( "other", 2 ), start + 6s );
        CHECK( table.find( other )->phase == member_phase::alive );
    }
}

TEST_CASE( "an instance refutes what is said wrongly of it", "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto slander = named( "me" );
    slander.phase = member_phase::suspect;
    table.merge( slander, start );
    CHECK( table.self().phase == member_phase::alive );
    CHECK( table.self().version == 1 );
}

TEST_CASE( "a leaving instance is not named to callers", "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto leaving = named( "other" );
    leaving.phase = member_phase::leaving;
    table.merge( leaving, start );
    REQUIRE( table.alive().size() == 1 );
    table.leave( start );
    CHECK( table.alive().empty() );
}

TEST_CASE( "news reaches a whole fleet within seconds", "[membership]" )
{
    auto fleet = gossip_fleet( 64 );
    // All of them start at once and know one other each.
    REQUIRE( fleet.rounds_until(
                 [&]
                 {
                     return fleet.least_known() == 64;
                 } ) <= 20 );

    SECTION( "that an instance leaves" )
    {
        fleet.at( 3 ).members.leave( fleet.time.now() );
        CHECK( fleet.rounds_until(
                   [&]
                   {
                       return fleet.all_see( 3, member_phase::leaving );
                   } ) <= 7 );
    }
    SECTION( "that an instance has died" )
    {
        fleet.kill( 3 );
        CHECK( fleet.rounds_until(
                   [&]
                   {
                       return fleet.all_see( 3, member_phase::gone );
                   } ) <= 15 );
    }
    SECTION( "also when one connection in five is lost" )
    {
        fleet.lose_connections( 0.2 );
        fleet.run_rounds( 120 );
        fleet.lose_connections( 0 );
        fleet.run_rounds( 20 );
        CHECK( fleet.least_known() == 64 );
        for ( auto i = 0; i < 64; ++i )
            CHECK_FALSE( fleet.all_see( i, member_phase::gone ) );
    }
}

TEST_CASE( "an instance held for gone by one other comes back by its own word",
           "[membership]" )
{
    auto fleet = gossip_fleet( 2 );
    fleet.run_rounds( 3 );
    auto wrong = fleet.at( 1 ).members.self();
    wrong.phase = member_phase::gone;
    fleet.at( 0 ).members.merge( wrong, fleet.time.now() );
    // The news is no longer passed on.
    while ( !fleet.at( 0 ).members.take_changes( 100 ).empty() )
    {
    }
    REQUIRE( fleet.all_see( 1, member_phase::gone ) == false );
    REQUIRE( fleet.at( 0 ).members.find( wrong.id )->phase ==
             member_phase::gone );
    fleet.run_rounds( 3 );
    CHECK( fleet.at( 0 ).members.find( wrong.id )->phase ==
           member_phase::alive );
}

TEST_CASE( "two that hold each other for gone meet again", "[membership]" )
{
    auto fleet = gossip_fleet( 2 );
    fleet.run_rounds( 3 );
    for ( auto const i : { 0, 1 } )
    {
        auto wrong = fleet.at( 1 - i ).members.self();
        wrong.phase = member_phase::gone;
        fleet.at( i ).members.merge( wrong, fleet.time.now() );
        while ( !fleet.at( i ).members.take_changes( 100 ).empty() )
        {
        }
    }
    fleet.run_rounds( 10 );
    CHECK( fleet.least_known() == 2 );
}

TEST_CASE( "an accepted configuration is in force everywhere within seconds",
           "[membership][configuration]" )
{
    auto fleet = gossip_fleet( 64 );
    fleet.run_rounds( 20 );
    // The store's watch has told one instance only.
    fleet.adopt_at( 0, 1 );
    CHECK( fleet.rounds_until(
               [&]
               {
                   return fleet.all_at_revision( 1 );
               } ) <= 7 );

    SECTION( "and a new instance learns it from its peers in an outage" )
    {
        auto const number = fleet.add();
        fleet.run_rounds( 1 );
        CHECK( fleet.at( number ).holder.revision() == core::revision( 1 ) );
    }
}

TEST_CASE( "a workspace's limits are divided between its homes",
           "[membership]" )
{
    auto alive = std::vector<membership::member>{};
    for ( auto i = 0; i < 50; ++i )
        alive.push_back( named( "i" + std::to_string( i ) ) );
    auto const workspace = core::workspace_id( "w" );
    auto const whole = [&]
    {
        auto sum = 0.0;
        for ( auto const& each : alive )
            sum += membership::part_of_limits( workspace, each.id, alive, 3 );
        return sum;
    };
    CHECK( whole() == Approx( 1 ) );
    auto const homes = membership::workspace_homes( workspace, alive, 3 );
    REQUIRE( homes.size() == 3 );
    // One home goes: the others stay homes.
    std::erase_if( alive,
                   [&]( auto const& m )
                   {
                       return m.id == homes.front().id;
                   } );
    CHECK( whole() == Approx( 1 ) );
    auto const after = membership::workspace_homes( workspace, alive, 3 );
    auto const stays = [&]( core::instance_id const& id )
    {
        return std::any_of( after.begin(), after.end(),
                            [&]( auto const& m )
                            {
                                return m.id == id;
                            } );
    };
    CHECK( stays( homes[1].id ) );
    CHECK( stays( homes[2].id ) );
}

TEST_CASE( "subsets of targets cover all of them", "[membership]" )
{
    auto targets = std::vector<ports::listed_target>{};
    for ( auto i = 0; i < 1'200; ++i )
    {
        auto t = ports::listed_target{};
        t.id = core::target_id( "t" + std::to_string( i ) );
        t.data_centre = core::data_centre_id( "p" + std::to_string( i % 10 ) );
        targets.push_back( t );
    }
    auto uses = std::map<core::target_id, int>{};
    for ( auto i = 0; i < 410; ++i )
    {
        auto const request = membership::selection_request{
            core::instance_id( "i" + std::to_string( i ) ),
            core::data_centre_id( "p" + std::to_string( i % 10 ) ), 24 };
        auto const chosen = membership::select_targets( targets, request );
        REQUIRE( chosen.size() == 24 );
        auto near = 0;
        for ( auto const& each : chosen )
        {
            ++uses[each.id];
            near += each.data_centre == request.data_centre ? 1 : 0;
        }
        REQUIRE( near == 18 );
    }
    CHECK( uses.size() == targets.size() );
}
