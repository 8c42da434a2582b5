#include <pollenstream/scheduling/fair_shares.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace core = pollenstream::core;
namespace scheduling = pollenstream::scheduling;

namespace
{

auto const model = core::service_id( "model" );

auto workspace( int n ) -> scheduling::workspace_number
{
    return scheduling::workspace_number( n );
}

/// Shares for which a test sets the rates of workspaces.
struct rated_shares
{
    /// Workspace 1 asks for ten times as much as each of the 23 others, which
    /// get all that they ask for; it gets `granted` of its 100,000 tokens.
    auto run( core::duration time, double granted ) -> void
    {
        for ( auto const end = now + time; now < end; now += 100ms )
        {
            shares.note_asked( model, workspace( 1 ), 10'000, now );
            shares.note_granted( model, workspace( 1 ), granted * 10'000, now );
            for ( auto n = 2; n <= 24; ++n )
            {
                shares.note_asked( model, workspace( n ), 1'000, now );
                shares.note_granted( model, workspace( n ), 1'000, now );
            }
        }
    }
    auto is_over( int n ) -> bool
    {
        return shares.is_over_share( model, workspace( n ), now );
    }

    scheduling::fair_shares shares;
    core::instant now{ 100s };
};

}

TEST_CASE( "the fair level gives small demands all and divides the rest",
           "[shares]" )
{
    using scheduling::max_min_level;
    CHECK_FALSE( max_min_level( { { 10, 1 }, { 2, 1 } }, 12 ) );
    CHECK( *max_min_level( { { 10, 1 }, { 2, 1 } }, 8 ) == Approx( 6 ) );
    CHECK( *max_min_level( { { 10, 1 }, { 8, 1 }, { 9, 1 } }, 12 ) ==
           Approx( 4 ) );
    CHECK( *max_min_level( { { 10, 1 }, { 10, 3 } }, 8 ) == Approx( 2 ) );
    CHECK( *max_min_level( { { 10, 1 } }, 0 ) == Approx( 0 ) );
    CHECK_FALSE( max_min_level( {}, 0 ) );
}

TEST_CASE( "only the workspace that asks for ten times as much is over its "
           "share",
           "[shares]" )
{
    auto f = rated_shares{};
    f.run( 2s, 0.7 );
    CHECK( f.is_over( 1 ) );
    for ( auto n = 2; n <= 24; ++n )
        CHECK_FALSE( f.is_over( n ) );
    CHECK( f.shares.over_share( f.now ) == 1 );
    auto const largest = f.shares.largest( 10, f.now );
    REQUIRE( largest.size() == 10 );
    CHECK( largest[0].workspace == workspace( 1 ) );
    CHECK( largest[0].granted_per_second ==
           Approx( largest[0].asked_per_second * 0.7 ) );
}

TEST_CASE( "without a shortage no workspace is over its share", "[shares]" )
{
    auto f = rated_shares{};
    SECTION( "all is granted at once" )
    {
        f.run( 10s, 1 );
    }
    SECTION( "a request waits for the next pass of an engine" )
    {
        f.run( 10s, 1 );
        f.shares.note_asked( model, workspace( 2 ), 1'000, f.now );
        f.now += 20ms;
    }
    SECTION( "nothing is known yet" ) {}
    CHECK_FALSE( f.is_over( 1 ) );
    CHECK( f.shares.over_share( f.now ) == 0 );
}

TEST_CASE( "a workspace is within its share again soon after its burst",
           "[shares]" )
{
    auto f = rated_shares{};
    f.run( 2s, 0.7 );
    REQUIRE( f.is_over( 1 ) );
    SECTION( "all others go on" )
    {
        f.run( 6s, 1 );
    }
    SECTION( "no more requests arrive" )
    {
        f.now += scheduling::fair_shares::time_constant + 1ms;
    }
    CHECK_FALSE( f.is_over( 1 ) );
}

TEST_CASE( "a workspace with a higher weight may have more", "[shares]" )
{
    auto f = rated_shares{};
    f.shares.set_weight( workspace( 1 ), 10 );
    f.run( 2s, 0.7 );
    CHECK_FALSE( f.is_over( 1 ) );
}

TEST_CASE( "averages keep their precision over hours", "[shares]" )
{
    auto f = rated_shares{};
    for ( auto hour = 0; hour < 3; ++hour )
    {
        f.run( 2s, 1 );
        f.now += 1h;
    }
    f.run( 200s, 0.7 );
    CHECK( f.is_over( 1 ) );
    CHECK( f.shares.over_share( f.now ) == 1 );
    auto const first = f.shares.largest( 1, f.now ).front();
    CHECK( first.asked_per_second == Approx( 100'000 ).epsilon( 0.1 ) );
}

TEST_CASE( "a change is reported once", "[shares]" )
{
    auto f = rated_shares{};
    f.run( 2s, 0.7 );
    auto const changes = f.shares.take_changes( f.now );
    REQUIRE( changes.size() == 1 );
    CHECK( changes[0].workspace == workspace( 1 ) );
    CHECK( changes[0].is_over );
    CHECK( f.shares.take_changes( f.now ).empty() );
    f.now += 5s;
    CHECK_FALSE( f.shares.is_idle( f.now ) );
    REQUIRE( f.shares.take_changes( f.now ).size() == 1 );
    CHECK( f.shares.is_idle( f.now ) );
}

TEST_CASE( "the number of a workspace fits into 32 bits, and 0 means none",
           "[shares]" )
{
    using scheduling::number_of;
    CHECK( number_of( core::workspace_id() ).count() == 0 );
    auto const number = number_of( core::workspace_id( "ws" ) ).count();
    CHECK( number > 0 );
    CHECK( number < ( std::int64_t{ 1 } << 32 ) );
    CHECK( number != number_of( core::workspace_id( "ws2" ) ).count() );
}
