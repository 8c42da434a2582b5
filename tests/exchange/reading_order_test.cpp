#include "support/played_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

using requests = std::vector<std::shared_ptr<played_request>>;

auto in_time( requests const& all, core::duration objective ) -> std::ptrdiff_t
{
    return std::count_if( all.begin(), all.end(),
                          [objective]( auto const& r )
                          {
                              return r->first.value_or( 60s ) < objective;
                          } );
}

}

TEST_CASE(
    "reviews stay in time though longer prompts come while they are read",
    "[load][placement]" )
{
    // Reviews are read in 0.3 s and have 1.5 s; parts of the audits take up to
    // a second and come while reviews are read, on engines that read half of
    // the time. Where parts may join in an engine's first 250 ms of reading, 99
    // of 100 reviews are in time instead of all.
    auto speed = engine_speed_of_users();
    speed.memory_tokens = 197'200;
    speed.prefill_tokens_per_ms = 206;
    speed.prefill_ms_per_m_pairs = 0.138;
    auto load = played_load( 40, speed );
    auto reviews = requests{};
    auto audits = requests{};
    for ( auto i = 0; i < 100; ++i )
        reviews.push_back( load.call( i * 80ms, "audit", 45'000 ) );
    for ( auto i = 0; i < 16; ++i )
        audits.push_back( load.call( i * 500ms + 20ms, "audit", 185'000 ) );
    for ( auto i = 0; i < 6; ++i )
        audits.push_back( load.call( i * 1300ms + 50ms, "audit", 400'000 ) );
    load.play( 40s );
    CHECK( in_time( reviews, 1500ms ) == 100 );
    CHECK( in_time( audits, 3s ) == 22 );
}
