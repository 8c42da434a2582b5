#include "support/record_fleet.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

// Guards against a configuration that reaches calm instances too late because
// an instance that reads the store freezes around the change.

namespace
{

/// `config_apply_ms`, after which no calm instance may be behind.
constexpr auto apply_limit = core::duration( 2s );
constexpr auto data_centre = "a";

/// Does not fit into a datagram, also when it is compressed.
auto large_value() -> std::string
{
    constexpr auto size = 20'000;
    auto random = std::minstd_rand( 1 );
    auto value = std::string{};
    for ( auto i = 0; i < size; ++i )
        value += static_cast<char>( 'a' + random() % 26 );
    return value;
}

/// Time until all instances that are not frozen know a large change.
auto time_to_know( record_fleet& fleet ) -> core::duration
{
    return fleet.time_until(
        []( auto const& one )
        {
            return one.is_frozen || one.is_drained( data_centre );
        },
        2 * apply_limit );
}

auto change( record_fleet& fleet ) -> void
{
    fleet.change( std::string( "op/evacuate/" ) + data_centre, large_value() );
}

}

TEST_CASE( "a change that is too large for datagrams is announced at once",
           "[peers][configuration]" )
{
    // A fetch begins at most two ticks after the announcement.
    constexpr auto announced_limit = core::duration( 230ms );
    auto const instances = GENERATE( 3, 8, 30, 63 );
    auto fleet = record_fleet( instances );
    for ( auto i = 0; i < 5; ++i )
    {
        fleet.scheduler.run( 130ms );
        change( fleet );
        CHECK( time_to_know( fleet ) <= announced_limit );
        fleet.change( std::string( "op/evacuate/" ) + data_centre,
                      std::nullopt );
        fleet.scheduler.run( 2s );
    }
}

TEST_CASE( "a reader that freezes around a change holds no calm instance up",
           "[peers][configuration]" )
{
    auto const instances = GENERATE( 3, 8, 30 );
    auto const loss = GENERATE( 0.0, 0.1 );
    auto longest = core::duration( 0 );
    for ( auto number = std::size_t{ 0 }; number < 3; ++number )
        for ( auto const freeze_after :
              { -300ms, -100ms, 0ms, 3ms, 20ms, 60ms, 120ms, 180ms, 250ms } )
        {
            auto fleet = record_fleet( instances );
            fleet.datagram_loss = loss;
            auto* const reader = fleet.readers().at( number );
            auto const freeze = [reader]
            {
                reader->is_frozen = true;
            };
            if ( freeze_after < 0ms )
            {
                freeze();
                fleet.scheduler.run( -freeze_after );
            }
            change( fleet );
            if ( freeze_after >= 0ms )
                fleet.after( freeze_after, freeze );
            longest = std::max( longest, time_to_know( fleet ) );
        }
    INFO( "longest: " << core::milliseconds_of( longest ) << " ms" );
    CHECK( longest < apply_limit );
}

TEST_CASE( "an instance knows since when it is behind",
           "[peers][configuration]" )
{
    auto fleet = record_fleet( 8 );
    auto const readers = fleet.readers();
    auto const follower =
        std::find_if( fleet.all.begin(), fleet.all.end(),
                      [&]( auto const& one )
                      {
                          return std::find( readers.begin(), readers.end(),
                                            one.get() ) == readers.end();
                      } );
    REQUIRE( follower != fleet.all.end() );
    auto& group = ( *follower )->group;
    CHECK_FALSE( group.behind_since() );
    change( fleet );
    fleet.scheduler.run( 10ms );
    REQUIRE( group.behind_since() );
    CHECK( fleet.scheduler.now() - *group.behind_since() <= 10ms );
    fleet.scheduler.run( 400ms );
    CHECK_FALSE( group.behind_since() );
}
