#include <pollenstream/exchange/split_queue.hpp>

#include <catch2/catch.hpp>

#include <chrono>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

TEST_CASE( "a split prompt does not count itself among those that wait",
           "[wide]" )
{
    auto queue = exchange::split_queue{};
    auto const now = core::instant( 100s );
    queue.enter( now + 1s );
    CHECK( queue.others( now + 1s ) == 0 );
    CHECK( queue.others( now + 2s ) == 1 );
    CHECK_FALSE( queue.others_in_time( now + 1s, now ) );
    CHECK( queue.others_in_time( now + 2s, now ) );
    SECTION( "but it counts another one with the same due time" )
    {
        queue.enter( now + 1s );
        CHECK( queue.others( now + 1s ) == 1 );
        CHECK( queue.others_in_time( now + 1s, now ) );
    }
    SECTION( "a late prompt counts as waiting, but not as in time" )
    {
        queue.enter( now - 1s );
        CHECK( queue.others( now + 1s ) == 1 );
        CHECK_FALSE( queue.others_in_time( now + 1s, now ) );
    }
    SECTION( "a prompt that has left no longer counts" )
    {
        queue.leave( now + 1s );
        queue.leave( now + 1s );
        CHECK( queue.size() == 0 );
    }
}
