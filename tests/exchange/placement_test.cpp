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

/// 18 engines as the Valuation Office has them.
struct engine_floor
{
    engine_floor()
    {
        for ( auto i = 0; i < 18; ++i )
            loads.put( make_target( "m" + std::to_string( i ), "model" ) );
        service.id = core::service_id( "model" );
        service.engine = engine_speed_of_users();
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

    /// Chooses and counts the work, as an instance does; false if full.
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

    /// Tries again each 10 ms, as one that waits, for three seconds at most.
    /// Returns the time from now to the predicted first event.
    auto wait_and_place( std::int64_t tokens, core::duration gap )
        -> core::duration
    {
        auto const came = now;
        while ( now - came < 3s && !place( tokens, gap ) )
        {
            now += 10ms;
            waited += 10ms;
        }
        if ( !last.choice )
            return core::duration::max();
        return now - came +
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

TEST_CASE( "reading grows with the square of a prompt", "[placement]" )
{
    auto const speed = engine_speed_of_users();
    CHECK( exchange::prefill_ms( speed, 5'000 ) ==
           Approx( 20.7 ).epsilon( 0.05 ) );
    CHECK( exchange::prefill_ms( speed, 210'000 ) ==
           Approx( 2'842 ).epsilon( 0.02 ) );
    CHECK( exchange::prefill_ms( speed, 1'000'000 ) ==
           Approx( 49'756 ).epsilon( 0.02 ) );
}

TEST_CASE( "short prompts are packed and leave engines free", "[placement]" )
{
    auto floor = engine_floor{};
    auto used = std::set<std::string>{};
    for ( auto i = 0; i < 60; ++i )
    {
        REQUIRE( floor.place( 5'000, 200ms ) );
        floor.end_prefill( floor.serial );
        used.insert( floor.last.choice->targets[0]->properties.id.str() );
    }
    // 60 requests over 13 packed slots an engine.
    CHECK( used.size() <= 6 );
}

TEST_CASE( "a long prompt is read away from short writers", "[placement]" )
{
    auto floor = engine_floor{};
    auto used = std::set<std::string>{};
    for ( auto i = 0; i < 60; ++i )
    {
        REQUIRE( floor.place( 5'000, 200ms ) );
        floor.end_prefill( floor.serial );
        used.insert( floor.last.choice->targets[0]->properties.id.str() );
    }
    REQUIRE( floor.place( 210'000, 800ms ) );
    CHECK( floor.last.choice->targets.size() >= 7 );
    for ( auto const& t : floor.last.choice->targets )
        CHECK( used.count( t->properties.id.str() ) == 0 );
    // A dossier spoils short pauses too, though its own route is patient.
    REQUIRE( floor.place( 45'000, 500ms ) );
    for ( auto const& t : floor.last.choice->targets )
        CHECK( used.count( t->properties.id.str() ) == 0 );
}

TEST_CASE( "a long prompt waits where every engine writes short answers",
           "[placement]" )
{
    auto floor = engine_floor{};
    while ( floor.place( 5'000, 200ms ) )
        floor.end_prefill( floor.serial );
    CHECK_FALSE( floor.place( 210'000, 800ms ) );
    SECTION( "and goes on waiting once it is late itself" )
    {
        floor.waited = 4s;
        CHECK_FALSE( floor.place( 210'000, 800ms ) );
    }
}

TEST_CASE( "a prompt whose caller is about to leave makes a few others late",
           "[placement]" )
{
    auto floor = engine_floor{};
    // Two short answers are written at each engine.
    for ( auto i = 0; i < 36; ++i )
    {
        auto work = exchange::open_work{};
        work.serial = ++floor.serial;
        work.parts = {
            { core::target_id( "m" + std::to_string( i % 18 ) ), 0, 6'600 } };
        work.context_tokens = 5'000;
        work.tolerated_gap_ms = 200;
        work.prefilling = false;
        floor.loads.add_work( floor.self, work, floor.now );
    }
    floor.waited = 9s;
    CHECK_FALSE( floor.place( 210'000, 800ms ) );
    floor.patience = 2s;
    REQUIRE( floor.place( 210'000, 800ms ) );
    CHECK( floor.last.choice->targets.size() <= 3 );
}

TEST_CASE( "one huge prompt does not make those behind it late", "[placement]" )
{
    auto floor = engine_floor{};
    // It waits a little for more engines than there are.
    floor.waited = 500ms;
    REQUIRE( floor.place( 400'000, 800ms ) );
    CHECK( floor.last.choice->first_event_ms < 1'100 );
    // Nor is a second one placed upon the first.
    CHECK_FALSE( floor.place( 420'000, 800ms ) );
    // One behind it waits for engines that are free and is in time.
    floor.waited = 0ms;
    CHECK( floor.wait_and_place( 120'000, 800ms ) < 3s );
}

TEST_CASE( "an engine that reads for itself reads for no other", "[placement]" )
{
    auto floor = engine_floor{};
    REQUIRE( floor.place( 210'000, 800ms ) );
    auto const writer = floor.last.choice->targets[0]->properties.id;
    REQUIRE( floor.wait_and_place( 210'000, 800ms ) < 3s );
    for ( auto i = std::size_t{ 1 }; i < floor.last.choice->targets.size();
          ++i )
        CHECK( floor.last.choice->targets[i]->properties.id != writer );
}

TEST_CASE( "a prompt that no engine has room for is reserved at several",
           "[placement]" )
{
    auto floor = engine_floor{};
    // Every engine has less than 200,000 tokens free.
    for ( auto const& [id, target] : floor.loads.all() )
    {
        auto work = exchange::open_work{};
        work.serial = ++floor.serial;
        work.parts = { { id, 0, 260'000 } };
        work.tolerated_gap_ms = 800;
        work.prefilling = false;
        floor.loads.add_work( floor.self, work, floor.now );
    }
    REQUIRE( floor.place( 210'000, 800ms ) );
    CHECK( floor.last.choice->needs_reservation );
    auto tokens = std::int64_t{ 0 };
    for ( auto const& part : floor.last.choice->parts )
        tokens += part.memory_tokens;
    CHECK( tokens >= 211'600 );
}

TEST_CASE( "what all memory together cannot hold is said to be too large",
           "[placement]" )
{
    auto floor = engine_floor{};
    auto const result = floor.choose( 16 * 450'000, 800ms );
    CHECK_FALSE( result.choice );
    CHECK( result.reason == exchange::placement_obstacle::too_large );
}

TEST_CASE( "leaving and shunned targets are passed over", "[placement]" )
{
    auto f = exchange_fixture{};
    f.loads.eject( core::target_id( "p1" ), f.scheduler.now() + 1s );
    auto demand = exchange::placement_demand{};
    demand.service = core::service_id( "plain" );
    auto const settings = exchange::service_settings{};
    auto result = f.chooser.choose( demand, settings, f.scheduler.now() );
    REQUIRE( result.choice );
    CHECK( result.choice->targets[0]->properties.id ==
           core::target_id( "p2" ) );
    f.loads.mark_gone( core::target_id( "p2" ) );
    // Better a target that failed than none.
    result = f.chooser.choose( demand, settings, f.scheduler.now() );
    REQUIRE( result.choice );
    CHECK( result.choice->targets[0]->properties.id ==
           core::target_id( "p1" ) );
    f.loads.mark_gone( core::target_id( "p1" ) );
    result = f.chooser.choose( demand, settings, f.scheduler.now() );
    CHECK_FALSE( result.choice );
    CHECK( result.reason == exchange::placement_obstacle::no_targets );
}

/// Ten seconds of the users' mix over a floor whose engines behave as the model
/// says; what matters is how many short answers have a long part beside them.
TEST_CASE( "under the heaviest mix few short answers meet a long part",
           "[placement][load]" )
{
    auto floor = engine_floor{};
    struct running
    {
        std::uint64_t serial;
        core::instant until;
        core::instant first_event;
    };
    auto open = std::vector<running>{};
    auto random = std::minstd_rand( 7 );
    auto spoiled = 0;
    auto shorts = 0;
    auto longs_in_time = 0;
    auto longs = 0;
    auto waiting = std::deque<core::instant>{};
    for ( auto ms = 0; ms < 10'000; ms += 10 )
    {
        floor.now += 10ms;
        std::erase_if( open,
                       [&]( auto const& r )
                       {
                           if ( r.until > floor.now )
                               return false;
                           floor.loads.end_work( floor.self, r.serial,
                                                 floor.now );
                           return true;
                       } );
        // An instance tells of a first event when it has come.
        for ( auto const& r : open )
            if ( r.first_event <= floor.now )
                floor.end_prefill( r.serial );
        auto const draw = std::uniform_real_distribution<>( 0, 1 )( random );
        if ( draw < 0.4 )
        {
            ++shorts;
            if ( floor.place( 5'000, 200ms ) )
            {
                auto const& t = *floor.last.choice->targets[0];
                spoiled += t.backlog_ms( floor.now ) > 200 ? 1 : 0;
                floor.end_prefill( floor.serial );
                open.push_back( { floor.serial, floor.now + 2s, floor.now } );
            }
        }
        else if ( draw < 0.42 )
        {
            ++longs;
            waiting.push_back( floor.now );
        }
        // Those that find no room wait and are tried again, the oldest first.
        while ( !waiting.empty() )
        {
            floor.waited = floor.now - waiting.front();
            auto const placed = floor.place( 210'000, 800ms );
            auto const first =
                placed ? core::duration_of( floor.last.choice->first_event_ms /
                                            1'000 )
                       : 0ms;
            longs_in_time += placed && floor.waited + first < 3s ? 1 : 0;
            floor.waited = 0ms;
            if ( !placed )
                break;
            waiting.pop_front();
            open.push_back(
                { floor.serial, floor.now + 3s, floor.now + first } );
        }
    }
    CHECK( spoiled * 20 <= shorts );
    CHECK( longs_in_time * 10 >= longs * 8 );
}

TEST_CASE( "instances that choose at once do not all choose the same engine",
           "[placement]" )
{
    auto floor = engine_floor{};
    // 300 short prompts a second arrive, and an instance hears of the others'
    // choices 30 ms late: nine requests choose from the same board.
    for ( auto i = 0; i < 1'000; ++i )
    {
        floor.now += 3ms;
        auto work = exchange::open_work{};
        work.serial = ++floor.serial;
        work.parts = { { core::target_id( "m0" ), 0, 0 } };
        floor.loads.add_work( floor.self, work, floor.now );
        floor.loads.end_work( floor.self, work.serial, floor.now );
    }
    auto at_engine = std::map<std::string, int>{};
    for ( auto i = 0; i < 9; ++i )
    {
        floor.draw = ( i + 0.5 ) / 9;
        auto const result = floor.choose( 5'000, 200ms );
        REQUIRE( result.choice );
        ++at_engine[result.choice->targets[0]->properties.id.str()];
    }
    for ( auto const& [id, count] : at_engine )
        CHECK( count <= 4 );
    SECTION( "and where little arrives they stay together" )
    {
        floor.now += 10s;
        at_engine.clear();
        for ( auto i = 0; i < 9; ++i )
        {
            floor.draw = ( i + 0.5 ) / 9;
            ++at_engine[floor.choose( 5'000, 200ms )
                            .choice->targets[0]
                            ->properties.id.str()];
        }
        CHECK( at_engine.size() == 1 );
    }
}

TEST_CASE( "an engine that reads for others ends it before it gets more",
           "[placement]" )
{
    auto floor = engine_floor{};
    REQUIRE( floor.place( 300'000, 800ms ) );
    auto first = std::set<std::string>{};
    for ( auto const& t : floor.last.choice->targets )
        first.insert( t->properties.id.str() );
    REQUIRE( first.size() >= 10 );
    // A part that came now would be read before the one that waits.
    floor.now += 260ms;
    floor.waited = 2s;
    if ( floor.place( 210'000, 800ms ) )
        for ( auto const& t : floor.last.choice->targets )
            CHECK( first.count( t->properties.id.str() ) == 0 );
    SECTION( "and is free as soon as that has ended" )
    {
        floor.now += 300ms;
        REQUIRE( floor.place( 210'000, 800ms ) );
        CHECK( floor.last.choice->targets.size() >= 10 );
    }
}

TEST_CASE( "a prompt of any size is placed where all engines are free",
           "[placement]" )
{
    for ( auto const tokens : { 500'000, 700'000, 850'000, 1'000'000 } )
    {
        auto floor = engine_floor{};
        floor.is_only_split_prompt = true;
        INFO( tokens );
        REQUIRE( floor.place( tokens, 800ms ) );
        CHECK( floor.last.choice->needs_reservation );
        CHECK( floor.last.choice->first_event_ms < 3'500 );
    }
}

TEST_CASE( "a huge prompt that is late leaves engines to short ones",
           "[placement]" )
{
    auto floor = engine_floor{};
    floor.is_only_split_prompt = true;
    floor.waited = 9s;
    // Parts of 1.1 s at most engines would meet a wave of short prompts.
    REQUIRE( floor.place( 441'000, 800ms ) );
    CHECK( floor.last.choice->targets.size() <= 9 );
}

TEST_CASE( "no more short prompts go to an engine than it can read in time",
           "[placement][load]" )
{
    // Twelve come at one moment, as at the start of a wave. One after the other
    // at one engine the last would wait for 250 ms of reading and two passes.
    auto floor = engine_floor{};
    auto at = std::map<std::string, int>{};
    SECTION( "they are spread" )
    {
        for ( auto i = 0; i < 12; ++i )
        {
            REQUIRE( floor.place( 5'000, 200ms ) );
            CHECK( floor.last.choice->first_event_ms < 225 );
            ++at[floor.last.choice->targets[0]->properties.id.str()];
        }
        CHECK( at.size() >= 3 );
        CHECK( at.size() <= 5 );
    }
    SECTION( "but packed closer while long prompts wait for engines" )
    {
        floor.others_in_time = true;
        for ( auto i = 0; i < 12; ++i )
        {
            REQUIRE( floor.place( 5'000, 200ms ) );
            ++at[floor.last.choice->targets[0]->properties.id.str()];
        }
        CHECK( at.size() <= 3 );
    }
}

TEST_CASE( "a prompt takes fewer engines where most of them are busy",
           "[placement]" )
{
    auto floor = engine_floor{};
    REQUIRE( floor.place( 100'000, 800ms ) );
    auto const idle = floor.last.choice->targets.size();
    auto busy = engine_floor{};
    for ( auto i = 0; i < 10; ++i )
        REQUIRE( busy.place( 45'000, 800ms ) );
    REQUIRE( busy.place( 100'000, 800ms ) );
    CHECK( busy.last.choice->targets.size() < idle );
}

TEST_CASE( "two under suspicion do not run at the same engine",
           "[placement][crash]" )
{
    auto f = engine_floor{};
    for ( auto i = 0; i < 40; ++i )
        REQUIRE( f.place( 5'000, 200ms ) );
    auto used = std::set<std::string>{};
    f.crashes = 1;
    for ( auto i = 0; i < 16; ++i )
    {
        REQUIRE( f.place( 5'000, 200ms ) );
        CHECK(
            used.insert( f.last.choice->targets.front()->properties.id.str() )
                .second );
    }
    SECTION( "unless there are more of them than engines" )
    {
        for ( auto i = 0; i < 16; ++i )
            CHECK( f.place( 5'000, 200ms ) );
    }
    SECTION( "and what ends no longer counts" )
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= f.serial; ++serial )
            f.loads.end_work( f.self, serial, f.now );
        for ( auto const& [id, t] : f.loads.all() )
            CHECK( t->load.suspects == 0 );
    }
}

TEST_CASE( "one that met two ends runs beside as few as can be",
           "[placement][crash]" )
{
    auto f = engine_floor{};
    for ( auto i = 0; i < 60; ++i )
        REQUIRE( f.place( 5'000, 200ms ) );
    f.crashes = 2;
    REQUIRE( f.place( 5'000, 200ms ) );
    auto const beside = f.last.choice->basis.requests;
    for ( auto const& [id, t] : f.loads.all() )
        CHECK( beside <= t->load.requests );
}
