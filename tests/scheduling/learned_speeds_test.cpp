#include "support/simulated_engines.hpp"
#include <pollenstream/exchange/engine_capacity.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto engine_count = 14;
constexpr auto slow_factor = 3.0;
/// From an engine's first event until the load table hears of it.
constexpr auto report_time = 10ms;
auto const slow_engines = std::vector<int>{ 1, 4, 8, 11 }; // 0.3 of 14

/// Engines with a load of short prompts at random times.
struct speeds_fixture
{
    explicit speeds_fixture( bool learns )
    {
        if ( !learns )
            load.fixture.loads.set_engine_models(
                {}, load.fixture.scheduler.now() );
    }
    /// Schedules `count` short prompts over `time`.
    auto add_short_prompts( int count, core::duration time ) -> void
    {
        auto random = std::minstd_rand( 7 );
        for ( auto i = 0; i < count; ++i )
            load.schedule_request(
                time * static_cast<int>( random() % 10'000 ) / 10'000, "chat",
                5'000 );
    }

    simulated_load load{ engine_count, production_engine_speed() };
};

/// A load table with engines `m1`, `m2` and so on, whose first events the test
/// plays.
struct played_engines
{
    explicit played_engines( int count = 1 )
    {
        for ( auto i = 1; i <= count; ++i )
            loads.put( make_target( "m" + std::to_string( i ), "model" ) );
        service.engine = production_engine_speed();
        loads.set_engine_models(
            { { core::service_id( "model" ), production_engine_speed() } },
            now );
        loads.on_slowdown_changed = [this]( auto const& change )
        {
            changes.push_back( change );
        };
    }
    auto work( std::uint64_t serial,
               core::target_id const& target = core::target_id( "m1" ) )
        -> exchange::open_work
    {
        auto w = exchange::open_work{};
        w.serial = serial;
        w.parts = { { target, 100, 5'000 } };
        return w;
    }
    auto add( exchange::open_work const& w ) -> void
    {
        loads.add_work( peer, w, now );
    }
    /// Plays work whose first event comes after `factor` times the time that
    /// the engine takes if it runs as configured.
    auto serve( double factor,
                core::target_id const& target = core::target_id( "m1" ) )
        -> void
    {
        add( work( ++serial, target ) );
        auto const at = loads.find( target );
        auto const expected_ms =
            at->backlog_ms( now ) / at->slowdown +
            exchange::first_event_per_pass *
                exchange::decode_pass_ms( production_engine_speed(), 0, 0 );
        now += core::duration_of( expected_ms * factor / 1'000 ) + report_time;
        loads.end_prefill( peer, serial, now );
        loads.end_served_work( peer, serial, now );
    }
    auto slow_down( core::target_id const& target ) -> void
    {
        for ( auto i = 0; i < 3; ++i )
            serve( slow_factor, target );
    }
    auto choose( std::int64_t tokens, core::duration gap ) const
        -> exchange::placement_result
    {
        auto demand = exchange::placement_demand{};
        demand.service = core::service_id( "model" );
        demand.prompt_tokens = tokens;
        demand.output_tokens = 800;
        demand.latency_objective = 3s;
        demand.gap_objective = gap;
        demand.min_gap_objective = 200ms;
        demand.time_left = 10s;
        demand.patience_left = 10s;
        return chooser.choose( demand, service, now );
    }
    auto entry() -> std::shared_ptr<exchange::target_entry>
    {
        return loads.find( core::target_id( "m1" ) );
    }

    exchange::load_table loads;
    exchange::placement chooser{ loads, core::data_centre_id( "a" ) };
    exchange::service_settings service;
    core::instance_id peer{ "peer" };
    core::instant now{ 100s };
    std::uint64_t serial{ 0 };
    std::vector<exchange::slowdown_change> changes;
};

}

// Guards against short prompts that keep going to slow engines, and against
// engines that are avoided although they run as configured.
TEST_CASE( "beside slow engines, learned speeds halve the short prompts that "
           "are later than predicted, and no other engine counts as slow",
           "[scheduling][speeds][load]" )
{
    auto slowed = std::set<std::string>{};
    auto const late = [&slowed]( bool learns )
    {
        auto fixture = speeds_fixture( learns );
        for ( auto const i : slow_engines )
            fixture.load.engines.set_slowdown( i, slow_factor );
        fixture.load.fixture.loads.on_slowdown_changed =
            [&slowed]( auto const& change )
        {
            slowed.insert( change.target.id.str() );
        };
        fixture.add_short_prompts( 3'000, 20s );
        fixture.load.run( 30s );
        return fixture.load.later_than_predicted();
    };
    auto const without = late( false );
    CHECK( slowed.empty() );
    auto const with = late( true );
    CAPTURE( without, with );
    CHECK( without > 100 );
    CHECK( with * 2 <= without );
    CHECK_FALSE( slowed.empty() );
    for ( auto const i : slow_engines )
        slowed.erase( "e" + std::to_string( i ) );
    CHECK( slowed.empty() );
}

// Guards against a load of ordinary days that is placed in another way.
TEST_CASE( "without slow engines, no placement changes by learning",
           "[scheduling][speeds][load]" )
{
    auto const targets = []( bool learns )
    {
        auto fixture = speeds_fixture( learns );
        fixture.add_short_prompts( 1'500, 10s );
        for ( auto i = 0; i < 20; ++i )
            fixture.load.schedule_request( i * 450ms, "audit", 150'000 );
        fixture.load.run( 40s );
        auto all = std::vector<std::string>{};
        for ( auto const& event : fixture.load.fixture.log.all )
            if ( auto const* placed =
                     std::get_if<exchange::request_placed>( &event ) )
                for ( auto const& part : placed->parts )
                    all.push_back( part.target.str() );
        return all;
    };
    CHECK( targets( true ) == targets( false ) );
}

// Guards against predictions that stay wrong for what an engine still has to
// prefill when its speed changes, and against changes that nobody sees.
TEST_CASE( "a slowdown scales the remaining backlog and is reported when it "
           "begins and ends",
           "[scheduling][speeds]" )
{
    auto f = played_engines{};
    for ( auto i = 0; i < 3; ++i )
        f.serve( 3 );
    CHECK( f.entry()->slowdown == Approx( 3 ).epsilon( 0.01 ) );
    for ( auto i = 0; i < 3; ++i )
        f.serve( 1 );
    CHECK( f.entry()->slowdown == 1 );
    f.slow_down( f.entry()->properties.id );
    CHECK( f.loads.slowed().size() == 1 );
    f.add( f.work( 50 ) );
    CHECK( f.entry()->backlog_ms( f.now ) == Approx( 300 ).epsilon( 0.01 ) );
    f.loads.set_engine_models( {}, f.now );
    CHECK( f.entry()->backlog_ms( f.now ) == Approx( 100 ).epsilon( 0.01 ) );
    CHECK( f.entry()->slowdown == 1 );
    CHECK( f.loads.slowed().empty() );
    REQUIRE( f.changes.size() == 4 );
    auto const slowed = exchange::slowdown_state_change( f.changes[0] );
    CHECK( slowed.now == "slowed" );
    CHECK( slowed.because == "first events, 3.0 times" );
    auto const recovered = exchange::slowdown_state_change( f.changes[3] );
    CHECK( recovered.now == "as_configured" );
}

TEST_CASE( "first events that a coordinator can't judge give no samples",
           "[scheduling][speeds]" )
{
    auto f = played_engines{};
    SECTION( "the report of the first event was lost" )
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= 3; ++serial )
        {
            auto w = f.work( serial );
            f.add( w );
            f.now += 900ms;
            w.prefilling = false;
            f.add( w );
        }
    }
    SECTION( "the engine had work that became known late" )
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= 3; ++serial )
        {
            f.add( f.work( serial ) );
            f.now += 400ms;
            auto unknown = f.work( 100 + serial );
            unknown.sent_ago = 400ms;
            f.add( unknown );
            f.now += 500ms;
            f.loads.end_prefill( f.peer, serial, f.now );
        }
    }
    SECTION( "work ended without an event" )
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= 3; ++serial )
        {
            f.add( f.work( serial ) );
            f.now += 900ms;
            f.loads.end_work( f.peer, serial, f.now );
        }
    }
    SECTION( "the instance knows only its own work" )
    {
        f.loads.set_learns_speeds( false, f.now );
        for ( auto i = 0; i < 3; ++i )
            f.serve( 3 );
    }
    CHECK( f.entry()->slowdown == 1 );
    CHECK( f.changes.empty() );
}

// Guards against a restarted engine that is avoided for what it was before.
TEST_CASE( "the estimate of an engine ends with its lifetime, work of before "
           "included",
           "[scheduling][speeds]" )
{
    auto f = played_engines{};
    for ( auto i = 0; i < 3; ++i )
        f.serve( 3 );
    f.add( f.work( 50 ) );
    auto again = make_target( "m1", "model" );
    again.lifetime = core::target_lifetime( 5 );
    f.loads.put( again );
    CHECK( f.entry()->slowdown == 1 );
    CHECK( f.loads.slowed().empty() );
    f.now += 2s;
    f.loads.end_prefill( f.peer, 50, f.now );
    CHECK( f.entry()->slowdown == 1 );
    CHECK( f.loads.slowed().empty() );
}

// Guards against a whole prompt that is late because of one slow engine, and
// against predictions that ignore that only slow engines are left.
TEST_CASE( "prompts go to engines that run as configured, and are predicted "
           "later if there are none",
           "[scheduling][speeds]" )
{
    auto const [tokens, gap] =
        GENERATE( std::pair{ 5'000, 200ms }, std::pair{ 150'000, 800ms } );
    auto f = played_engines( 20 );
    auto const undisturbed = f.choose( tokens, gap );
    REQUIRE( undisturbed.choice );
    for ( auto const& target : undisturbed.choice->targets )
        f.slow_down( target->properties.id );
    auto const avoiding = f.choose( tokens, gap );
    REQUIRE( avoiding.choice );
    CHECK( avoiding.choice->targets.size() ==
           undisturbed.choice->targets.size() );
    for ( auto const& target : avoiding.choice->targets )
        CHECK( target->slowdown == 1 );
    for ( auto const& [id, entry] : f.loads.all() )
        f.slow_down( id );
    auto const slow = f.choose( tokens, gap );
    REQUIRE( slow.choice );
    CHECK( slow.choice->first_event_ms >
           undisturbed.choice->first_event_ms * 2 );
}

// Guards against an engine that counts as slow because its backlog is known to
// the former coordinators only.
TEST_CASE( "an instance that becomes a coordinator learns once all others have "
           "told it of their work",
           "[scheduling][speeds]" )
{
    auto f = played_engines{};
    f.loads.set_learns_speeds( false, f.now );
    auto const since = f.now;
    f.loads.set_learns_speeds( true, since );
    // Two late first events would be enough otherwise.
    f.serve( 2.5 );
    f.serve( 2.5 );
    REQUIRE( f.now < since + 1s );
    CHECK( f.entry()->slowdown == 1 );
    f.now = since + 1s;
    f.loads.set_learns_speeds( true, f.now );
    f.serve( 3 );
    f.serve( 3 );
    CHECK( f.entry()->slowdown == Approx( 3 ).epsilon( 0.01 ) );
}

// Guards against samples that are relative to a model that no longer holds.
TEST_CASE( "a changed engine model ends the estimate, an equal one does not",
           "[scheduling][speeds]" )
{
    auto f = played_engines{};
    f.slow_down( f.entry()->properties.id );
    auto model = production_engine_speed();
    auto const id = core::service_id( "model" );
    f.loads.set_engine_models( { { id, model } }, f.now );
    CHECK( f.entry()->slowdown > 2 );
    model.prefill_tokens_per_ms /= 3;
    f.loads.set_engine_models( { { id, model } }, f.now );
    CHECK( f.entry()->slowdown == 1 );
    REQUIRE( f.changes.size() == 2 );
    CHECK( exchange::slowdown_state_change( f.changes[1] ).because ==
           "engine model changed" );
}
