#include <pollenstream/core/name_counts.hpp>

#include <catch2/catch.hpp>

using pollenstream::core::name_counts;

TEST_CASE( "names beyond the maximum share one count", "[core]" )
{
    auto counts = name_counts{};
    CHECK( counts.add( "first" ) );
    CHECK_FALSE( counts.add( "first" ) );
    for ( auto i = std::size_t{ 1 }; i < name_counts::max_names; ++i )
        CHECK( counts.add( std::to_string( i ) ) );
    CHECK_FALSE( counts.add( "one more" ) );
    CHECK_FALSE( counts.add( "another" ) );
    CHECK( counts.all().at( "first" ) == 2 );
    CHECK( counts.all().at( name_counts::others ) == 2 );
}
