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
    s.read_tokens_per_ms = 177;
    s.read_ms_per_m_pairs = 0.184;
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
           "[booking][load]" )
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

TEST_CASE( "a wide prompt books engines that are busy and waits until they are "
           "free",
           "[booking]" )
{
    auto load = played_load( 6, slow_engine() );
    // All engines read for a second.
    for ( auto i = 0; i < 6; ++i )
        load.call( 0ms, "audit", 75'000 );
    auto const wide = load.call( 100ms, "audit", 150'000 );
    load.play( 400ms );
    // The engines are kept for it, and nothing is sent to them yet: an engine
    // reads what came last first, and the others would be late.
    auto const known =
        load.fixture.board.works_of( core::instance_id( "self" ) );
    CHECK( std::any_of( known.begin(), known.end(),
                        []( auto const& work )
                        {
                            return work.context_tokens == 150'000;
                        } ) );
    CHECK( std::count( load.engines.sent.begin(), load.engines.sent.end(),
                       150'000 ) == 0 );
    load.play( 20s );
    CHECK( wide->complete );
    CHECK( *wide->first < 3s );
}

TEST_CASE( "booked engines that are lost are replaced", "[booking]" )
{
    auto load = played_load( 8, slow_engine() );
    for ( auto i = 0; i < 8; ++i )
        load.call( 0ms, "audit", 75'000 );
    auto const wide = load.call( 100ms, "audit", 150'000 );
    load.play( 500ms );
    REQUIRE_FALSE( wide->first );
    for ( auto i = 0; i < 3; ++i )
        load.fixture.board.mark_gone(
            core::target_id( "e" + std::to_string( i ) ) );
    load.play( 20s );
    CHECK( wide->complete );
    auto told = std::vector<std::string>{};
    for ( auto const& e : load.fixture.log.all )
        if ( auto const* booking =
                 std::get_if<exchange::booking_changed>( &e ) )
            told.push_back( booking->now );
    REQUIRE( told.size() >= 2 );
    CHECK( told[0] == "made" );
    CHECK( told[1] == "dropped" );
}

TEST_CASE( "over capacity, wide prompts that cannot be in time hear it soon",
           "[booking][load]" )
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

TEST_CASE( "work that is booked reads behind what was told before it",
           "[booking][board]" )
{
    auto board = exchange::target_board{};
    board.put( make_target( "m1", "model" ) );
    auto const now = core::instant( 100s );
    auto const self = core::instance_id( "self" );
    auto const other = core::instance_id( "other" );
    auto work = exchange::open_work{};
    work.parts.push_back( { core::target_id( "m1" ), 500, 0 } );
    work.serial = 1;
    board.add_work( other, work, now );
    work.serial = 2;
    board.add_work( self, work, now );
    CHECK( board.reads_first( other, 1 ) );
    CHECK_FALSE( board.reads_first( self, 2 ) );
    board.end_reading( other, 1, now + 500ms );
    CHECK( board.reads_first( self, 2 ) );
}
