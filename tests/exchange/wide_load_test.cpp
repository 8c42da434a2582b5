#include "support/played_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Engines of a smaller memory that read slower than `engine_speed_of_users`.
auto slow_engine() -> exchange::engine_speed
{
    auto s = engine_speed_of_users();
    s.memory_tokens = 315'000;
    s.step_ms = 0.85;
    s.prefill_tokens_per_ms = 177;
    s.prefill_ms_per_m_pairs = 0.184;
    s.steps_per_pass = 51;
    return s;
}

using requests = std::vector<std::shared_ptr<played_request>>;

/// Short prompts at `per_second` for `time`.
auto short_prompts( played_load& load, int per_second, core::duration time )
    -> requests
{
    auto all = requests{};
    for ( auto t = core::duration( 0 ); t < time; t += 1000ms / per_second )
        all.push_back( load.call( t, "chat", 5'000 ) );
    return all;
}

/// Time of the first event that 95 in 100 have.
auto p95( requests const& all ) -> core::duration
{
    auto times = std::vector<core::duration>{};
    for ( auto const& r : all )
        times.push_back( r->first.value_or( 60s ) );
    std::sort( times.begin(), times.end() );
    return times[times.size() * 95 / 100];
}

}

TEST_CASE( "three huge prompts that come together are served beside short ones",
           "[load]" )
{
    auto alone = played_load( 14, slow_engine() );
    auto const undisturbed = short_prompts( alone, 30, 10s );
    alone.play( 30s );

    auto load = played_load( 14, slow_engine() );
    auto const shorts = short_prompts( load, 30, 10s );
    auto const wide = requests{ load.call( 2000ms, "audit", 378'729 ),
                                load.call( 2600ms, "audit", 571'301 ),
                                load.call( 3200ms, "audit", 370'339 ) };
    load.play( 40s );
    for ( auto const& r : wide )
    {
        CAPTURE( r->tokens, r->refusals );
        CHECK( r->complete );
        // Who is refused hears it soon.
        CHECK( r->refused_after < 3s );
    }
    CHECK( p95( shorts ) < p95( undisturbed ) * 6 / 5 );
}

TEST_CASE( "a wide prompt is not read before prompts that would be late for it",
           "[load]" )
{
    auto load = played_load( 6, slow_engine() );
    // All engines read for a second.
    auto first = requests{};
    for ( auto i = 0; i < 6; ++i )
        first.push_back( load.call( 0ms, "audit", 75'000 ) );
    auto const wide = load.call( 100ms, "audit", 150'000 );
    load.play( 400ms );
    CHECK( std::count( load.engines.sent.begin(), load.engines.sent.end(),
                       150'000 ) == 0 );
    load.play( 20s );
    for ( auto const& r : first )
    {
        CHECK( r->complete );
        CHECK( r->first.value_or( 60s ) < 3s );
    }
    CHECK( wide->complete );
    CHECK( wide->first.value_or( 60s ) < 3s );
}

TEST_CASE( "a wide prompt that waits is served though engines are lost",
           "[load]" )
{
    auto load = played_load( 8, slow_engine() );
    for ( auto i = 0; i < 8; ++i )
        load.call( 0ms, "audit", 75'000 );
    auto const wide = load.call( 100ms, "audit", 150'000 );
    load.play( 500ms );
    REQUIRE_FALSE( wide->first );
    for ( auto i = 0; i < 3; ++i )
        load.fixture.loads.mark_gone(
            core::target_id( "e" + std::to_string( i ) ) );
    load.play( 20s );
    CHECK( wide->complete );
}

TEST_CASE( "over capacity, wide prompts that cannot be in time hear it soon",
           "[load]" )
{
    auto load = played_load( 14, slow_engine() );
    auto const shorts = short_prompts( load, 10, 10s );
    auto usual = requests{};
    auto huge = requests{};
    for ( auto i = 0; i < 60; ++i )
        usual.push_back( load.call( i * 160ms, "audit", 150'000 ) );
    for ( auto i = 0; i < 6; ++i )
        huge.push_back( load.call( 1s + i * 1500ms, "audit", 420'000 ) );
    load.play( 60s );
    for ( auto const& r : huge )
    {
        CAPTURE( r->tokens );
        CHECK( r->refused_after < 3s );
    }
    auto const in_time = std::count_if( usual.begin(), usual.end(),
                                        []( auto const& r )
                                        {
                                            return r->first && *r->first < 3s;
                                        } );
    // The load is 1.3 times what the engines can read: 41 of 60 at most. While
    // wide prompts waited for free engines until their callers left, it was 22
    // and the huge ones heard it after 11.85 s; now it is 32.
    CHECK( in_time >= 30 );
    CHECK( p95( shorts ) < 300ms );
}
