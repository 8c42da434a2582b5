#include "support/record_fleet.hpp"

#include <catch2/catch.hpp>

// How long a drained data centre takes from the store to all instances.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto is_drained( record_instance const& one ) -> bool
{
    return one.is_drained( "a" );
}

auto is_in_service( record_instance const& one ) -> bool
{
    return !one.is_drained( "a" );
}

}

TEST_CASE( "a drained data centre is known everywhere within a second",
           "[registry][drain][spread]" )
{
    auto const instances = GENERATE( 63, 300 );
    auto fleet = record_fleet( instances );
    REQUIRE( fleet.readers().size() == 3 );
    fleet.change( "op/evacuate/a", "{}" );
    CHECK( fleet.time_until( is_drained, 5s ) <= 1s );
    fleet.scheduler.run( 2s );
    CHECK( fleet.time_until( is_drained, 1ms ) == 0ms );
    fleet.change( "op/evacuate/a", std::nullopt );
    CHECK( fleet.time_until( is_in_service, 5s ) <= 1s );
}

TEST_CASE( "also while the store turns instances away",
           "[registry][drain][spread]" )
{
    auto fleet = record_fleet( 63 );
    auto const readers = fleet.readers();
    REQUIRE( readers.size() == 3 );
    SECTION( "some of those that read it" )
    {
        readers[0]->store.turns_away = true;
        readers[1]->store.turns_away = true;
        fleet.scheduler.run( 1s );
        fleet.change( "op/evacuate/a", "{}" );
        CHECK( fleet.time_until( is_drained, 5s ) <= 1s );
    }
    SECTION( "all of those that read it" )
    {
        for ( auto* const one : readers )
            one->store.turns_away = true;
        fleet.change( "op/evacuate/a", "{}" );
        // The requirements allow five seconds.
        CHECK( fleet.time_until( is_drained, 5s ) <= 3s );
    }
}
