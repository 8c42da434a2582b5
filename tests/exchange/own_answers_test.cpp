#include <pollenstream/exchange/own_answers.hpp>

#include <catch2/catch.hpp>

#include <set>

namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
using namespace std::chrono_literals;

TEST_CASE(
    "retry-after without capacity grows with the number of waiting requests",
    "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    auto const spread = core::duration( 300ms );
    auto const with_none_waiting =
        exchange::retry_after_no_capacity( 0, 0ms, random );
    CHECK( with_none_waiting <= spread );
    auto const with_60_waiting =
        exchange::retry_after_no_capacity( 60, 0ms, random );
    CHECK( with_60_waiting >= 600ms );
    CHECK( with_60_waiting <= 600ms + spread );
    // Never later than the shortest objective of a route for long prompts.
    CHECK( exchange::retry_after_no_capacity( 10'000, 0ms, random ) <=
           1500ms + spread );
}

TEST_CASE( "a split prompt comes back after twice its shortest prefill",
           "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    CHECK( exchange::retry_after_no_capacity( 5, 900ms, random ) >= 1800ms );
}

TEST_CASE( "requests refused together come back at different times",
           "[refusing]" )
{
    auto random = std::minstd_rand( 1 );
    auto times = std::set<core::duration>{};
    for ( auto i = 0; i < 50; ++i )
        times.insert( exchange::retry_after_no_capacity( 20, 0ms, random ) );
    CHECK( times.size() > 45 );
}
