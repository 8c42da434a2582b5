#include <pollenstream/exchange/own_answers.hpp>

#include <catch2/catch.hpp>

#include <set>

namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
using namespace std::chrono_literals;

TEST_CASE( "who finds no room comes back the later the more wait before it",
           "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    auto const spread = core::duration( 300ms );
    auto const alone = exchange::retry_after_no_capacity( 0, 0ms, random );
    CHECK( alone <= spread );
    auto const behind_60 = exchange::retry_after_no_capacity( 60, 0ms, random );
    CHECK( behind_60 >= 600ms );
    CHECK( behind_60 <= 600ms + spread );
    // Never so late that the shortest objective of a long route is over.
    CHECK( exchange::retry_after_no_capacity( 10'000, 0ms, random ) <=
           1500ms + spread );
}

TEST_CASE( "a wide prompt comes back when those before it may be read",
           "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    CHECK( exchange::retry_after_no_capacity( 5, 900ms, random ) >= 1800ms );
}

TEST_CASE( "those who are refused together come back at different times",
           "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    auto times = std::set<core::duration>{};
    for ( auto i = 0; i < 50; ++i )
        times.insert( exchange::retry_after_no_capacity( 20, 0ms, random ) );
    CHECK( times.size() > 45 );
}
