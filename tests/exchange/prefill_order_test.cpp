#include "support/simulated_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

using requests = std::vector<std::shared_ptr<simulated_request>>;

auto in_time( requests const& all, core::duration objective ) -> std::ptrdiff_t
{
    return std::count_if( all.begin(), all.end(),
                          [objective]( auto const& r )
                          {
                              return r->first_event.value_or( 60s ) < objective;
                          } );
}

}

TEST_CASE( "long prompts stay in time although longer ones arrive during their "
           "prefill",
           "[load][placement]" )
{
    // The prefill of a review takes 0.3 s of its objective of 1.5 s. Parts of
    // the audits take up to a second and arrive during the prefill of reviews,
    // on engines with a prefill utilization of one half. If parts may join an
    // engine during the first 250 ms of its prefill, one of the 100 reviews is
    // delayed by such a part and gets late.
    auto speed = production_engine_speed();
    speed.memory_tokens = 197'200;
    speed.prefill_tokens_per_ms = 206;
    speed.prefill_ms_per_m_pairs = 0.138;
    auto load = simulated_load( 40, speed );
    auto reviews = requests{};
    auto audits = requests{};
    for ( auto i = 0; i < 100; ++i )
        reviews.push_back( load.schedule_request( i * 80ms, "audit", 45'000 ) );
    for ( auto i = 0; i < 16; ++i )
        audits.push_back(
            load.schedule_request( i * 500ms + 20ms, "audit", 185'000 ) );
    for ( auto i = 0; i < 6; ++i )
        audits.push_back(
            load.schedule_request( i * 1300ms + 50ms, "audit", 400'000 ) );
    load.run( 40s );
    CHECK( in_time( reviews, 1500ms ) == 100 );
    CHECK( in_time( audits, 3s ) == 22 );
}
