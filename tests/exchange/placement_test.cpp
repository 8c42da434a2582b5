#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/engine_model.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// A load table with 18 idle engines, and a request to place on them.
struct placement_fixture
{
    placement_fixture()
    {
        for ( auto i = 0; i < 18; ++i )
            loads.put( make_target( "m" + std::to_string( i ), "model" ) );
        service.id = core::service_id( "model" );
        service.engine = production_engine_speed();
    }

    auto choose( std::int64_t tokens, core::duration gap )
        -> exchange::placement_result
    {
        auto demand = exchange::placement_demand{};
        demand.service = service.id;
        demand.prompt_tokens = tokens;
        demand.output_tokens = 1'600;
        demand.latency_objective = gap == 200ms ? 300ms : 3s;
        demand.gap_objective = gap;
        demand.min_gap_objective = 200ms;
        demand.waited = waited;
        demand.time_left = 10s;
        demand.patience_left = patience;
        demand.draw = draw;
        demand.is_only_split_prompt = is_only_split_prompt;
        demand.others_in_time = others_in_time;
        demand.crashes = crashes;
        return chooser.choose( demand, service, now );
    }

    /// Chooses targets and adds the work to the load table, as an instance
    /// does. Returns false if there is no choice.
    auto place( std::int64_t tokens, core::duration gap ) -> bool
    {
        last = choose( tokens, gap );
        if ( !last.choice )
            return false;
        auto work = exchange::open_work{};
        work.serial = ++serial;
        work.parts = last.choice->parts;
        work.context_tokens = tokens;
        work.tolerated_gap_ms = core::milliseconds_of( gap );
        work.is_suspect = crashes > 0;
        loads.add_work( self, work, now );
        return true;
    }

    /// Tries to place a waiting prompt every 10 ms for up to three seconds.
    /// Returns the time from the first attempt to the predicted first event.
    auto wait_and_place( std::int64_t tokens, core::duration gap )
        -> core::duration
    {
        auto const arrived_at = now;
        while ( now - arrived_at < 3s && !place( tokens, gap ) )
        {
            now += 10ms;
            waited += 10ms;
        }
        if ( !last.choice )
            return core::duration::max();
        return now - arrived_at +
               core::duration_of( last.choice->first_event_ms / 1'000 );
    }

    auto end_prefill( std::uint64_t which ) -> void
    {
        loads.end_prefill( self, which, now );
    }

    exchange::load_table loads;
    exchange::placement chooser{ loads, core::data_centre_id( "a" ) };
    exchange::service_settings service;
    core::instance_id self{ "self" };
    core::instant now{ 100s };
    core::duration waited{ 0 };
    core::duration patience{ 10s };
    double draw{ 0 };
    bool is_only_split_prompt{ false };
    bool others_in_time{ false };
    std::uint64_t serial{ 0 };
    std::size_t crashes{ 0 };
    exchange::placement_result last;
};

}

TEST_CASE( "prefill grows with the square of the prompt", "[placement]" )
{
    auto const speed = production_engine_speed();
    CHECK( exchange::prefill_ms( speed, 5'000 ) ==
           Approx( 20.7 ).epsilon( 0.05 ) );
    CHECK( exchange::prefill_ms( speed, 210'000 ) ==
           Approx( 2'842 ).epsilon( 0.02 ) );
    CHECK( exchange::prefill_ms( speed, 1'000'000 ) ==
           Approx( 49'756 ).epsilon( 0.02 ) );
}

TEST_CASE( "short prompts are packed and leave engines free", "[placement]" )
{
    auto fixture = placement_fixture{};
    auto used = std::set<std::string>{};
    for ( auto i = 0; i < 60; ++i )
    {
        REQUIRE( fixture.place( 5'000, 200ms ) );
        fixture.end_prefill( fixture.serial );
        used.insert( fixture.last.choice->targets[0]->properties.id.str() );
    }
    // 60 requests fill four engines with 15 packed slots each.
    CHECK( used.size() <= 6 );
}

TEST_CASE(
    "a long prompt is kept away from engines that decode for short prompts",
    "[placement]" )
{
    auto fixture = placement_fixture{};
    auto used = std::set<std::string>{};
    for ( auto i = 0; i < 60; ++i )
    {
        REQUIRE( fixture.place( 5'000, 200ms ) );
        fixture.end_prefill( fixture.serial );
        used.insert( fixture.last.choice->targets[0]->properties.id.str() );
    }
    REQUIRE( fixture.place( 210'000, 800ms ) );
    CHECK( fixture.last.choice->targets.size() >= 7 );
    for ( auto const& t : fixture.last.choice->targets )
        CHECK( used.count( t->properties.id.str() ) == 0 );
    // So is a smaller one: its prefill exceeds short pause objectives too,
    // although its own route tolerates more.
    REQUIRE( fixture.place( 45'000, 500ms ) );
    for ( auto const& t : fixture.last.choice->targets )
        CHECK( used.count( t->properties.id.str() ) == 0 );
}

TEST_CASE( "a long prompt waits if all engines decode for short prompts",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    while ( fixture.place( 5'000, 200ms ) )
        fixture.end_prefill( fixture.serial );
    CHECK_FALSE( fixture.place( 210'000, 800ms ) );
    SECTION( "and continues to wait once it is late itself" )
    {
        fixture.waited = 4s;
        CHECK_FALSE( fixture.place( 210'000, 800ms ) );
    }
}

TEST_CASE(
    "a prompt whose caller is about to give up may make a few others late",
    "[placement]" )
{
    auto fixture = placement_fixture{};
    // Each engine decodes for two short prompts.
    for ( auto i = 0; i < 36; ++i )
    {
        auto work = exchange::open_work{};
        work.serial = ++fixture.serial;
        work.parts = {
            { core::target_id( "m" + std::to_string( i % 18 ) ), 0, 6'600 } };
        work.context_tokens = 5'000;
        work.tolerated_gap_ms = 200;
        work.prefilling = false;
        fixture.loads.add_work( fixture.self, work, fixture.now );
    }
    fixture.waited = 9s;
    CHECK_FALSE( fixture.place( 210'000, 800ms ) );
    fixture.patience = 2s;
    REQUIRE( fixture.place( 210'000, 800ms ) );
    CHECK( fixture.last.choice->targets.size() <= 3 );
}

TEST_CASE( "one huge prompt does not make those behind it late", "[placement]" )
{
    auto fixture = placement_fixture{};
    // It has waited a little for more engines than there are.
    fixture.waited = 500ms;
    REQUIRE( fixture.place( 400'000, 800ms ) );
    CHECK( fixture.last.choice->first_event_ms < 1'100 );
    // A second one is not placed behind the first.
    CHECK_FALSE( fixture.place( 420'000, 800ms ) );
    // A smaller one waits for free engines and is in time.
    fixture.waited = 0ms;
    CHECK( fixture.wait_and_place( 120'000, 800ms ) < 3s );
}

TEST_CASE( "an engine with its own prefill gets no part of another prompt",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    REQUIRE( fixture.place( 210'000, 800ms ) );
    auto const decode_target = fixture.last.choice->targets[0]->properties.id;
    REQUIRE( fixture.wait_and_place( 210'000, 800ms ) < 3s );
    for ( auto i = std::size_t{ 1 }; i < fixture.last.choice->targets.size();
          ++i )
        CHECK( fixture.last.choice->targets[i]->properties.id !=
               decode_target );
}

TEST_CASE( "memory is reserved at several engines for a prompt that fits none",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    // Every engine has less than 200,000 tokens free.
    for ( auto const& [id, target] : fixture.loads.all() )
    {
        auto work = exchange::open_work{};
        work.serial = ++fixture.serial;
        work.parts = { { id, 0, 260'000 } };
        work.tolerated_gap_ms = 800;
        work.prefilling = false;
        fixture.loads.add_work( fixture.self, work, fixture.now );
    }
    REQUIRE( fixture.place( 210'000, 800ms ) );
    CHECK( fixture.last.choice->needs_reservation );
    auto tokens = std::int64_t{ 0 };
    for ( auto const& part : fixture.last.choice->parts )
        tokens += part.memory_tokens;
    CHECK( tokens >= 211'600 );
}

TEST_CASE( "a prompt that exceeds the memory of all engines is too large",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    auto const result = fixture.choose( 16 * 450'000, 800ms );
    CHECK_FALSE( result.choice );
    CHECK( result.reason == exchange::placement_obstacle::too_large );
}

TEST_CASE( "ejected and gone targets are not chosen", "[placement]" )
{
    auto f = exchange_fixture{};
    f.loads.eject( core::target_id( "p1" ), f.scheduler.now(),
                   f.scheduler.now() + 1s );
    auto demand = exchange::placement_demand{};
    demand.service = core::service_id( "plain" );
    auto const settings = exchange::service_settings{};
    auto result = f.chooser.choose( demand, settings, f.scheduler.now() );
    REQUIRE( result.choice );
    CHECK( result.choice->targets[0]->properties.id ==
           core::target_id( "p2" ) );
    f.loads.mark_gone( core::target_id( "p2" ) );
    // An ejected target is still better than none.
    result = f.chooser.choose( demand, settings, f.scheduler.now() );
    REQUIRE( result.choice );
    CHECK( result.choice->targets[0]->properties.id ==
           core::target_id( "p1" ) );
    f.loads.mark_gone( core::target_id( "p1" ) );
    result = f.chooser.choose( demand, settings, f.scheduler.now() );
    CHECK_FALSE( result.choice );
    CHECK( result.reason == exchange::placement_obstacle::no_targets );
}

/// Simulates ten seconds of mixed load on engines that behave as predicted, and
/// counts the short prompts that are placed beside a part of a long one.
TEST_CASE( "under heavy load few short prompts are placed beside long ones",
           "[placement][load]" )
{
    auto fixture = placement_fixture{};
    struct running
    {
        std::uint64_t serial;
        core::instant until;
        core::instant first_event;
    };
    auto open = std::vector<running>{};
    auto random = std::minstd_rand( 7 );
    auto delayed_shorts = 0;
    auto shorts = 0;
    auto longs_in_time = 0;
    auto longs = 0;
    auto waiting = std::deque<core::instant>{};
    for ( auto ms = 0; ms < 10'000; ms += 10 )
    {
        fixture.now += 10ms;
        std::erase_if( open,
                       [&]( auto const& r )
                       {
                           if ( r.until > fixture.now )
                               return false;
                           fixture.loads.end_work( fixture.self, r.serial,
                                                   fixture.now );
                           return true;
                       } );
        // An instance reports a first event as soon as it has come.
        for ( auto const& r : open )
            if ( r.first_event <= fixture.now )
                fixture.end_prefill( r.serial );
        auto const draw = std::uniform_real_distribution<>( 0, 1 )( random );
        if ( draw < 0.4 )
        {
            ++shorts;
            if ( fixture.place( 5'000, 200ms ) )
            {
                auto const& t = *fixture.last.choice->targets[0];
                delayed_shorts += t.backlog_ms( fixture.now ) > 200 ? 1 : 0;
                fixture.end_prefill( fixture.serial );
                open.push_back(
                    { fixture.serial, fixture.now + 2s, fixture.now } );
            }
        }
        else if ( draw < 0.42 )
        {
            ++longs;
            waiting.push_back( fixture.now );
        }
        // Prompts without capacity wait and are tried again, oldest first.
        while ( !waiting.empty() )
        {
            fixture.waited = fixture.now - waiting.front();
            auto const placed = fixture.place( 210'000, 800ms );
            auto const first =
                placed ? core::duration_of(
                             fixture.last.choice->first_event_ms / 1'000 )
                       : 0ms;
            longs_in_time += placed && fixture.waited + first < 3s ? 1 : 0;
            fixture.waited = 0ms;
            if ( !placed )
                break;
            waiting.pop_front();
            open.push_back(
                { fixture.serial, fixture.now + 3s, fixture.now + first } );
        }
    }
    CHECK( delayed_shorts * 20 <= shorts );
    CHECK( longs_in_time * 10 >= longs * 8 );
}

TEST_CASE( "instances that choose at once do not all choose the same engine",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    // 300 short prompts arrive per second, and an instance learns of the
    // others' choices 30 ms late: nine requests choose from the same load
    // table.
    for ( auto i = 0; i < 1'000; ++i )
    {
        fixture.now += 3ms;
        auto work = exchange::open_work{};
        work.serial = ++fixture.serial;
        work.parts = { { core::target_id( "m0" ), 0, 0 } };
        fixture.loads.add_work( fixture.self, work, fixture.now );
        fixture.loads.end_work( fixture.self, work.serial, fixture.now );
    }
    auto count_by_engine = std::map<std::string, int>{};
    for ( auto i = 0; i < 9; ++i )
    {
        fixture.draw = ( i + 0.5 ) / 9;
        auto const result = fixture.choose( 5'000, 200ms );
        REQUIRE( result.choice );
        ++count_by_engine[result.choice->targets[0]->properties.id.str()];
    }
    for ( auto const& [id, count] : count_by_engine )
        CHECK( count <= 4 );
    SECTION( "but at a low arrival rate they stay together" )
    {
        fixture.now += 10s;
        count_by_engine.clear();
        for ( auto i = 0; i < 9; ++i )
        {
            fixture.draw = ( i + 0.5 ) / 9;
            ++count_by_engine[fixture.choose( 5'000, 200ms )
                                  .choice->targets[0]
                                  ->properties.id.str()];
        }
        CHECK( count_by_engine.size() == 1 );
    }
}

TEST_CASE(
    "an engine finishes its part of a prompt before it gets another part",
    "[placement]" )
{
    auto fixture = placement_fixture{};
    REQUIRE( fixture.place( 300'000, 800ms ) );
    auto first = std::set<std::string>{};
    for ( auto const& t : fixture.last.choice->targets )
        first.insert( t->properties.id.str() );
    REQUIRE( first.size() >= 10 );
    // The prefill of a part that arrives now would come before the one that
    // waits.
    fixture.now += 260ms;
    fixture.waited = 2s;
    if ( fixture.place( 210'000, 800ms ) )
        for ( auto const& t : fixture.last.choice->targets )
            CHECK( first.count( t->properties.id.str() ) == 0 );
    SECTION( "and is free as soon as the part has ended" )
    {
        fixture.now += 300ms;
        REQUIRE( fixture.place( 210'000, 800ms ) );
        CHECK( fixture.last.choice->targets.size() >= 10 );
    }
}

TEST_CASE( "a prompt of any size is placed if all engines are free",
           "[placement]" )
{
    for ( auto const tokens : { 500'000, 700'000, 850'000, 1'000'000 } )
    {
        auto fixture = placement_fixture{};
        fixture.is_only_split_prompt = true;
        INFO( tokens );
        REQUIRE( fixture.place( tokens, 800ms ) );
        CHECK( fixture.last.choice->needs_reservation );
        CHECK( fixture.last.choice->first_event_ms < 3'500 );
    }
}

TEST_CASE( "a huge prompt that is late leaves engines free for short ones",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    fixture.is_only_split_prompt = true;
    fixture.waited = 9s;
    // A burst of short prompts would otherwise find parts of 1.1 s at most of
    // the engines.
    REQUIRE( fixture.place( 441'000, 800ms ) );
    CHECK( fixture.last.choice->targets.size() <= 9 );
}

TEST_CASE( "no more short prompts are placed on an engine than can be in time",
           "[placement][load]" )
{
    // Twelve arrive at the same moment, as at the start of a burst. If one
    // engine got all of them, the last would wait for 250 ms of prefill and two
    // passes.
    auto fixture = placement_fixture{};
    auto at = std::map<std::string, int>{};
    SECTION( "they are spread" )
    {
        for ( auto i = 0; i < 12; ++i )
        {
            REQUIRE( fixture.place( 5'000, 200ms ) );
            CHECK( fixture.last.choice->first_event_ms < 225 );
            ++at[fixture.last.choice->targets[0]->properties.id.str()];
        }
        CHECK( at.size() >= 3 );
        CHECK( at.size() <= 5 );
    }
    SECTION( "but packed closer while long prompts wait for engines" )
    {
        fixture.others_in_time = true;
        for ( auto i = 0; i < 12; ++i )
        {
            REQUIRE( fixture.place( 5'000, 200ms ) );
            ++at[fixture.last.choice->targets[0]->properties.id.str()];
        }
        CHECK( at.size() <= 3 );
    }
}

TEST_CASE( "a prompt takes fewer engines if most of them are busy",
           "[placement]" )
{
    auto fixture = placement_fixture{};
    REQUIRE( fixture.place( 100'000, 800ms ) );
    auto const idle = fixture.last.choice->targets.size();
    auto busy = placement_fixture{};
    for ( auto i = 0; i < 10; ++i )
        REQUIRE( busy.place( 45'000, 800ms ) );
    REQUIRE( busy.place( 100'000, 800ms ) );
    CHECK( busy.last.choice->targets.size() < idle );
}

TEST_CASE( "two suspect contents do not run at the same engine",
           "[placement][crash]" )
{
    auto fixture = placement_fixture{};
    for ( auto i = 0; i < 40; ++i )
        REQUIRE( fixture.place( 5'000, 200ms ) );
    auto used = std::set<std::string>{};
    fixture.crashes = 1;
    for ( auto i = 0; i < 16; ++i )
    {
        REQUIRE( fixture.place( 5'000, 200ms ) );
        CHECK(
            used.insert(
                    fixture.last.choice->targets.front()->properties.id.str() )
                .second );
    }
    SECTION( "unless there are more of them than engines" )
    {
        for ( auto i = 0; i < 16; ++i )
            CHECK( fixture.place( 5'000, 200ms ) );
    }
    SECTION( "and ended requests no longer count" )
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= fixture.serial;
              ++serial )
            fixture.loads.end_work( fixture.self, serial, fixture.now );
        for ( auto const& [id, t] : fixture.loads.all() )
            CHECK( t->load.suspects == 0 );
    }
}

TEST_CASE(
    "a content that was present at two crashes runs beside the fewest requests",
    "[placement][crash]" )
{
    auto fixture = placement_fixture{};
    for ( auto i = 0; i < 60; ++i )
        REQUIRE( fixture.place( 5'000, 200ms ) );
    fixture.crashes = 2;
    REQUIRE( fixture.place( 5'000, 200ms ) );
    auto const beside = fixture.last.choice->basis.requests;
    for ( auto const& [id, t] : fixture.loads.all() )
        CHECK( beside <= t->load.requests );
}
