#include "support/simulated_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Engines with less memory and a slower prefill than
/// `production_engine_speed`.
auto slow_engine_speed() -> exchange::engine_speed
{
    auto s = production_engine_speed();
    s.memory_tokens = 315'000;
    s.step_ms = 0.85;
    s.prefill_tokens_per_ms = 177;
    s.prefill_ms_per_m_pairs = 0.184;
    s.steps_per_pass = 51;
    return s;
}

using requests = std::vector<std::shared_ptr<simulated_request>>;

/// Schedules short prompts at a rate of `per_second` for `time`.
auto short_prompts( simulated_load& load, int per_second, core::duration time )
    -> requests
{
    auto all = requests{};
    for ( auto t = core::duration( 0 ); t < time; t += 1000ms / per_second )
        all.push_back( load.schedule_request( t, "chat", 5'000 ) );
    return all;
}

/// 95th percentile of the times to the first event.
auto p95( requests const& all ) -> core::duration
{
    auto times = std::vector<core::duration>{};
    for ( auto const& r : all )
        times.push_back( r->first_event.value_or( 60s ) );
    std::sort( times.begin(), times.end() );
    return times[times.size() * 95 / 100];
}

}

TEST_CASE(
    "three huge prompts that arrive together are served beside short ones",
    "[load]" )
{
    auto alone = simulated_load( 14, slow_engine_speed() );
    auto const undisturbed = short_prompts( alone, 30, 10s );
    alone.run( 30s );

    auto load = simulated_load( 14, slow_engine_speed() );
    auto const shorts = short_prompts( load, 30, 10s );
    auto const split =
        requests{ load.schedule_request( 2000ms, "audit", 378'729 ),
                  load.schedule_request( 2600ms, "audit", 571'301 ),
                  load.schedule_request( 3200ms, "audit", 370'339 ) };
    load.run( 40s );
    for ( auto const& r : split )
    {
        CAPTURE( r->tokens, r->refusals );
        CHECK( r->complete );
        // A refused caller is not kept waiting for the refusal.
        CHECK( r->longest_refusal_wait < 3s );
    }
    CHECK( p95( shorts ) < p95( undisturbed ) * 6 / 5 );
}

TEST_CASE( "a split prompt does not overtake prompts that it would make late",
           "[load]" )
{
    auto load = simulated_load( 6, slow_engine_speed() );
    // All engines are busy with prefill for a second.
    auto first = requests{};
    for ( auto i = 0; i < 6; ++i )
        first.push_back( load.schedule_request( 0ms, "audit", 75'000 ) );
    auto const split = load.schedule_request( 100ms, "audit", 150'000 );
    load.run( 400ms );
    CHECK( std::count( load.engines.sent.begin(), load.engines.sent.end(),
                       150'000 ) == 0 );
    load.run( 20s );
    for ( auto const& r : first )
    {
        CHECK( r->complete );
        CHECK( r->first_event.value_or( 60s ) < 3s );
    }
    CHECK( split->complete );
    CHECK( split->first_event.value_or( 60s ) < 3s );
}

TEST_CASE( "a split prompt that waits is served although engines are lost",
           "[load]" )
{
    auto load = simulated_load( 8, slow_engine_speed() );
    for ( auto i = 0; i < 8; ++i )
        load.schedule_request( 0ms, "audit", 75'000 );
    auto const split = load.schedule_request( 100ms, "audit", 150'000 );
    load.run( 500ms );
    REQUIRE_FALSE( split->first_event );
    for ( auto i = 0; i < 3; ++i )
        load.fixture.loads.mark_gone(
            core::target_id( "e" + std::to_string( i ) ) );
    load.run( 20s );
    CHECK( split->complete );
}

TEST_CASE(
    "under overload, split prompts that cannot be in time are refused soon",
    "[load]" )
{
    auto load = simulated_load( 14, slow_engine_speed() );
    auto const shorts = short_prompts( load, 10, 10s );
    auto long_prompts = requests{};
    auto huge = requests{};
    for ( auto i = 0; i < 60; ++i )
        long_prompts.push_back(
            load.schedule_request( i * 160ms, "audit", 150'000 ) );
    for ( auto i = 0; i < 6; ++i )
        huge.push_back(
            load.schedule_request( 1s + i * 1500ms, "audit", 420'000 ) );
    load.run( 60s );
    for ( auto const& r : huge )
    {
        CAPTURE( r->tokens );
        CHECK( r->longest_refusal_wait < 3s );
    }
    auto const in_time =
        std::count_if( long_prompts.begin(), long_prompts.end(),
                       []( auto const& r )
                       {
                           return r->first_event && *r->first_event < 3s;
                       } );
    // The load is 1.3 times the prefill capacity, so that at most 41 of 60 can
    // be in time. If split prompts wait for free engines until their callers
    // give up, only 22 are, and the huge ones are refused after 11.85 s.
    CHECK( in_time >= 30 );
    CHECK( p95( shorts ) < 300ms );
}
