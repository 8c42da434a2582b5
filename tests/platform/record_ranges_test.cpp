#include <catch2/catch.hpp>

#include <record_ranges.hpp>
#include <registry_records.hpp>

// Guards against lists that other writers' records make too long to be read.

namespace
{

namespace platform = pollenstream::platform;

auto ranges() -> platform::record_ranges
{
    return platform::record_ranges( { { "b", 10 }, { "m/", 20 } } );
}

}

TEST_CASE( "a list skips the keys between the ranges that are needed",
           "[platform][store]" )
{
    auto const r = ranges();
    CHECK( r.next_after( "a-other" ) == "a-other" );
    CHECK( r.next_after( "A" ) == "A" );
    CHECK( r.next_after( "c" ) == "m" );
    CHECK( r.next_after( "b" ) == "b" );
    CHECK( r.next_after( "b/1" ) == "b/1" );
    CHECK( r.next_after( "c-other/99" ) == "m" );
    CHECK( r.next_after( "m" ) == "m" );
    CHECK( r.next_after( "m/7" ) == "m/7" );
    CHECK_FALSE( r.next_after( "n-other" ) );
    CHECK( r.find( "c-other/99" ) == nullptr );
    REQUIRE( r.find( "m/7" ) != nullptr );
    CHECK( r.find( "m/7" )->max_value_bytes == 20 );
}

TEST_CASE( "all records that are decoded are needed", "[platform][store]" )
{
    auto const records = platform::registry_records{};
    auto const needed = platform::needed_records();
    for ( auto const* const key :
          { "op/config", "op/evacuate/a", "servers/i-1",
            "pollenstream/instances/a", "pollenstream/quarantine/b" } )
    {
        INFO( key );
        CHECK( records.kind_of( key ) !=
               pollenstream::registry::record_kind::other );
        CHECK( needed.find( key ) != nullptr );
    }
    CHECK( needed.find( "other/x" ) == nullptr );
}
