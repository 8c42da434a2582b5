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
    table.note_unreachable( other, start );
    CHECK( table.find( other )->phase == member_phase::suspect );

    SECTION( "after the timeout" )
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
    SECTION( "and returns only as a later incarnation" )
    {
        table.expire( start + 5s );
        table.merge( named( "other" ), start + 6s );
        CHECK( table.find( other )->phase == member_phase::gone );
        table.merge( named( "other", 2 ), start + 6s );
        CHECK( table.find( other )->phase == member_phase::alive );
    }
}

TEST_CASE( "an instance refutes a wrong claim about itself", "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto wrong_claim = named( "me" );
    wrong_claim.phase = member_phase::suspect;
    table.merge( wrong_claim, start );
    CHECK( table.self().phase == member_phase::alive );
    CHECK( table.self().version == 1 );
}

TEST_CASE( "callers are not sent to a leaving instance", "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto leaving = named( "other" );
    leaving.phase = member_phase::leaving;
    table.merge( leaving, start );
    REQUIRE( table.alive().size() == 1 );
    table.leave( start );
    CHECK( table.alive().empty() );
}

TEST_CASE( "an update reaches a whole fleet within seconds", "[membership]" )
{
    auto fleet = gossip_fleet( 64 );
    // All instances start at once, and each knows only one other.
    REQUIRE( fleet.rounds_until(
                 [&]
                 {
                     return fleet.least_known() == 64;
                 } ) <= 20 );

    SECTION( "an instance leaves" )
    {
        fleet.at( 3 ).members.leave( fleet.time.now() );
        CHECK( fleet.rounds_until(
                   [&]
                   {
                       return fleet.all_see( 3, member_phase::leaving );
                   } ) <= 7 );
    }
    SECTION( "an instance dies" )
    {
        fleet.kill( 3 );
        CHECK( fleet.rounds_until(
                   [&]
                   {
                       return fleet.all_see( 3, member_phase::gone );
                   } ) <= 15 );
    }
    SECTION( "no instance is given up when one connection in five is lost" )
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

TEST_CASE(
    "an instance considered gone by one other returns by its own heartbeat",
    "[membership]" )
{
    auto fleet = gossip_fleet( 2 );
    fleet.run_rounds( 3 );
    auto wrong_claim = fleet.at( 1 ).members.self();
    wrong_claim.phase = member_phase::gone;
    fleet.at( 0 ).members.merge( wrong_claim, fleet.time.now() );
    // Use up the transmissions: the wrong update is no longer gossiped.
    while ( !fleet.at( 0 ).members.take_changes( 100 ).empty() )
    {
    }
    REQUIRE( fleet.all_see( 1, member_phase::gone ) == false );
    REQUIRE( fleet.at( 0 ).members.find( wrong_claim.id )->phase ==
             member_phase::gone );
    fleet.run_rounds( 3 );
    CHECK( fleet.at( 0 ).members.find( wrong_claim.id )->phase ==
           member_phase::alive );
}

TEST_CASE( "two instances that consider each other gone meet again",
           "[membership]" )
{
    auto fleet = gossip_fleet( 2 );
    fleet.run_rounds( 3 );
    for ( auto const i : { 0, 1 } )
    {
        auto wrong_claim = fleet.at( 1 - i ).members.self();
        wrong_claim.phase = member_phase::gone;
        fleet.at( i ).members.merge( wrong_claim, fleet.time.now() );
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
    // Only one instance has read the change from the store.
    fleet.adopt_at( 0, 1 );
    CHECK( fleet.rounds_until(
               [&]
               {
                   return fleet.all_at_revision( 1 );
               } ) <= 7 );

    SECTION( "a new instance gets it from its peers while the store is down" )
    {
        auto const number = fleet.add();
        fleet.run_rounds( 1 );
        CHECK( fleet.at( number ).holder.revision() == core::revision( 1 ) );
    }
}

TEST_CASE( "a workspace's limits are divided between its limit owners",
           "[membership]" )
{
    auto alive = std::vector<membership::member>{};
    for ( auto i = 0; i < 50; ++i )
        alive.push_back( named( "i" + std::to_string( i ) ) );
    auto const workspace = core::workspace_id( "w" );
    auto const total_share = [&]
    {
        auto sum = 0.0;
        for ( auto const& each : alive )
            sum += membership::limit_share( workspace, each.id, alive, 3 );
        return sum;
    };
    CHECK( total_share() == Approx( 1 ) );
    auto const owners = membership::limit_owners( workspace, alive, 3 );
    REQUIRE( owners.size() == 3 );
    // When one owner goes, the others stay owners.
    std::erase_if( alive,
                   [&]( auto const& m )
                   {
                       return m.id == owners.front().id;
                   } );
    CHECK( total_share() == Approx( 1 ) );
    auto const after = membership::limit_owners( workspace, alive, 3 );
    auto const stays = [&]( core::instance_id const& id )
    {
        return std::any_of( after.begin(), after.end(),
                            [&]( auto const& m )
                            {
                                return m.id == id;
                            } );
    };
    CHECK( stays( owners[1].id ) );
    CHECK( stays( owners[2].id ) );
}

TEST_CASE( "one instance too many is left out unless another is gone",
           "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    for ( auto i = std::size_t{ 1 }; i < membership::max_members; ++i )
        table.merge( named( std::to_string( i ) ), start );
    CHECK( table.left_out() == 0 );
    table.merge( named( "one more" ), start );
    CHECK( table.left_out() == 1 );
    CHECK_FALSE( table.find( core::instance_id( "one more" ) ) );

    // What the platform lists is added in any case.
    auto listed = ports::listed_instance{};
    listed.id = core::instance_id( "listed" );
    table.add_listed( { listed }, start );
    CHECK( table.find( listed.id ) );

    for ( auto const* id : { "7", "8" } )
    {
        auto gone = named( id );
        gone.phase = member_phase::gone;
        table.merge( gone, id == std::string( "7" ) ? start + 1s : start );
    }
    table.merge( named( "one more" ), start + 2s );
    CHECK( table.find( core::instance_id( "one more" ) ) );
    CHECK_FALSE( table.find( core::instance_id( "8" ) ) );
    CHECK( table.find( core::instance_id( "7" ) ) );
}

TEST_CASE( "an instance with a name that is too long is left out",
           "[membership]" )
{
    auto table = membership::member_table( named( "me" ), 1 );
    auto const longest = std::string( membership::max_member_name_bytes, 'n' );
    table.merge( named( longest ), start );
    table.merge( named( longest + 'n' ), start );
    CHECK( table.all().size() == 2 );
    CHECK( table.left_out() == 1 );
}

TEST_CASE( "the subsets of all instances together cover all targets",
           "[membership]" )
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
        auto local = 0;
        for ( auto const& each : chosen )
        {
            ++uses[each.id];
            local += each.data_centre == request.data_centre ? 1 : 0;
        }
        REQUIRE( local == 18 );
    }
    CHECK( uses.size() == targets.size() );
}
