#include "support/held_stream.hpp"

#include <catch2/catch.hpp>

// A silent target may still be working, so its silence alone must not end the
// caller's answer. Another target is tried beside it (a hedge), and the first
// of the two to send an event goes on.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Added to `past_silence_timeout`, exceeds the 2 s that a caller waits for an
/// event.
constexpr auto remaining_patience = core::duration( 1'200ms );

constexpr auto three_events =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

}

TEST_CASE( "an answer that has begun survives the silence of its target",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    SECTION( "no other target has capacity" )
    {
        s.fall_silent();
        s.f.scheduler.run( remaining_patience );
    }
    SECTION( "the retry budget is empty" )
    {
        s.f.retries.set_allowance( { 0, 0, 10s } );
        s.fall_silent();
    }
    SECTION( "the placement at another target is refused" )
    {
        s.fall_silent();
        REQUIRE( s.placements.all.size() == 2 );
        s.placements.all[1].listener->on_refused( { "too_large", 0ms } );
    }
    SECTION( "its content is quarantined" )
    {
        auto const content = s.placements.all[0].request.content;
        for ( auto const* id : { "e1", "e2", "e3" } )
            s.f.crashes.note_crash( { { exchange::suspect_of( content ) },
                                      { core::target_id( id ), {} },
                                      s.f.scheduler.now() } );
        s.f.crashes.note_ended( core::target_id( "e3" ) );
        REQUIRE( s.f.crashes.quarantined_groups() == 1 );
        s.fall_silent();
    }
    CHECK_FALSE( s.f.answer->aborted );
    CHECK_FALSE( s.first().cancelled );
    s.first().event( 3 );
    s.first().complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.log.last_outcome() == "served" );
}

TEST_CASE( "a call that cannot be retried survives the silence of its target",
           "[exchange][silence]" )
{
    auto f = exchange_fixture{};
    SECTION( "there is no other target" )
    {
        f.loads.mark_gone( core::target_id( "p2" ) );
    }
    SECTION( "the retry budget is empty" )
    {
        f.retries.set_allowance( { 0, 0, 10s } );
    }
    f.start( f.request( "/safe/x" ) );
    REQUIRE( f.targets.all.size() == 1 );
    f.scheduler.run( 3s );
    CHECK_FALSE( f.targets.all[0]->cancelled );
    f.targets.all[0]->answer( 200, "yes" );
    CHECK( f.answer->whole.status == 200 );
}

TEST_CASE(
    "an answer that has begun waits for capacity beyond its caller's patience",
    "[exchange][silence]" )
{
    auto s = held_stream{};
    s.first().head( 200 );
    s.first().event( 1 );
    s.first().lose();
    REQUIRE( s.placements.all.size() == 2 );
    s.f.scheduler.run( 4s );
    CHECK_FALSE( s.f.answer->aborted );
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    auto& second = *s.f.targets.all[1];
    second.head( 200 );
    second.event( 2 );
    second.event( 3 );
    second.complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
}

TEST_CASE(
    "of a silent target and its hedge, the first to send an event goes on",
    "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    auto& second = *s.f.targets.all[1];
    CHECK( second.request.head->find( "after 2" ) != std::string::npos );
    CHECK_FALSE( s.first().cancelled );
    SECTION( "the silent target is first" )
    {
        s.first().event( 3 );
        CHECK( second.cancelled );
        s.first().complete();
    }
    SECTION( "the hedge is first" )
    {
        second.head( 200 );
        CHECK_FALSE( s.first().cancelled );
        second.event( 3 );
        CHECK( s.first().cancelled );
        second.complete();
    }
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.open == 0 );
}

TEST_CASE( "a silent target that fails does not end its hedge",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    SECTION( "its connection is lost within an event" )
    {
        s.first().listener->on_body( "id: 3\nda" );
        CHECK_FALSE( s.at( 1 ).cancelled );
        s.first().lose();
    }
    SECTION( "its answer ends within an event" )
    {
        s.first().listener->on_body( "id: 3\nda" );
        s.first().complete();
    }
    SECTION( "it skips events" )
    {
        s.first().event( 4 );
        CHECK( s.first().cancelled );
    }
    CHECK_FALSE( s.at( 1 ).cancelled );
    s.at( 1 ).head( 200 );
    s.at( 1 ).event( 3 );
    s.at( 1 ).complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.open == 0 );
}

TEST_CASE( "a silent call that ends without a digest does not end its hedge",
           "[exchange][silence]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    f.targets.all[0]->head( 200, false );
    f.scheduler.run( 700ms );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[0]->complete();
    CHECK_FALSE( f.targets.all[1]->cancelled );
    f.targets.all[1]->answer( 200, "yes" );
    CHECK( f.answer->whole.status == 200 );
}

TEST_CASE( "when the hedge fails, the silent target may go on",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    auto& second = *s.f.targets.all[1];
    SECTION( "its connection is lost" )
    {
        second.lose();
    }
    SECTION( "it rejects the request as not run" )
    {
        second.reject();
    }
    SECTION( "it answers with an error" )
    {
        second.answer( 500, "no" );
    }
    SECTION( "it does not resume the stream" )
    {
        second.answer( 404, "no" );
    }
    SECTION( "it skips events of the stream" )
    {
        second.head( 200 );
        second.event( 4 );
    }
    CHECK_FALSE( s.first().cancelled );
    CHECK_FALSE( s.f.answer->aborted );
    s.first().event( 3 );
    s.first().complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.open == 0 );
}

TEST_CASE(
    "a grant is released when the silent target has sent an event before it",
    "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    REQUIRE( s.placements.all.size() == 2 );
    s.first().event( 3 );
    s.grant( "m2" );
    CHECK( s.f.targets.all.size() == 1 );
    CHECK( s.placements.released.size() == 1 );
    s.first().complete();
    CHECK( s.f.answer->ended );
}

TEST_CASE(
    "a memory reservation is released when the silent target has sent an "
    "event before it",
    "[exchange][silence][reservation]" )
{
    auto s = held_stream{};
    s.fall_silent();
    REQUIRE( s.placements.all.size() == 2 );
    auto granted = exchange::placement_grant{};
    granted.serial = s.placements.all[1].request.serial;
    granted.choice.targets = { s.f.loads.find( core::target_id( "m2" ) ) };
    granted.choice.parts = { { core::target_id( "m2" ), 20, 6'000 } };
    granted.choice.needs_reservation = true;
    s.placements.all[1].listener->on_granted( granted );
    REQUIRE( s.f.reservations.reserved.size() == 1 );
    s.first().event( 3 );
    s.f.reservations.reserved[0].callback( core::success() );
    CHECK( s.f.reservations.released.size() == 1 );
    CHECK( s.f.targets.all.size() == 1 );
    s.first().complete();
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.open == 0 );
}

TEST_CASE( "the loss of a silent target leaves its hedge running",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    SECTION( "before the hedge is placed" )
    {
        s.first().lose();
        s.f.scheduler.run( remaining_patience );
        s.grant( "m2" );
    }
    SECTION( "after the hedge is placed" )
    {
        s.grant( "m2" );
        s.first().lose();
    }
    REQUIRE( s.f.targets.all.size() == 2 );
    CHECK_FALSE( s.f.answer->aborted );
    auto& second = *s.f.targets.all[1];
    second.head( 200 );
    second.event( 3 );
    second.complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.crashed.size() == 1 );
}

TEST_CASE(
    "a request without any event is refused before its caller gives up, once "
    "its silent target is lost",
    "[exchange][silence]" )
{
    auto s = held_stream{};
    s.f.scheduler.run( 1'500ms );
    REQUIRE( s.placements.all.size() == 2 );
    SECTION( "the target is lost before the refusal is due" )
    {
        s.first().lose();
        s.f.scheduler.run( 340ms );
        CHECK_FALSE( s.f.answer->ended );
        s.f.scheduler.run( 20ms );
    }
    SECTION( "the target is lost when the refusal is overdue" )
    {
        s.f.scheduler.run( 450ms );
        CHECK_FALSE( s.f.answer->ended );
        s.first().lose();
    }
    CHECK( s.f.answer->whole.status == 502 );
}

TEST_CASE( "a retry is taken from the budget when it is sent",
           "[exchange][silence][budget]" )
{
    auto s = held_stream{};
    auto const model = core::service_id( "model" );
    // One retry for this instance, independent of the number of requests.
    s.f.retries.set_allowance( { 0, 1.4, 10s } );
    s.fall_silent();
    REQUIRE( s.placements.all.size() == 2 );
    SECTION( "not before, so that other requests may use it" )
    {
        CHECK( s.f.retries.take( model, s.f.scheduler.now() ) );
        s.grant( "m2" );
        CHECK( s.f.targets.all.size() == 1 );
        CHECK( s.placements.released.size() == 1 );
        CHECK_FALSE( s.first().cancelled );
    }
    SECTION( "not at all when the silent target goes on" )
    {
        s.first().event( 3 );
        CHECK( s.f.retries.take( model, s.f.scheduler.now() ) );
    }
    SECTION( "and counts from then on" )
    {
        s.f.scheduler.run( 8s );
        s.grant( "m2" );
        CHECK( s.f.targets.all.size() == 2 );
        s.open->on_caller_gone();
        s.f.scheduler.run( 2'500ms );
        CHECK_FALSE( s.f.retries.can_take( model, s.f.scheduler.now() ) );
    }
}

TEST_CASE( "a grant that comes at the deadline is released",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.f.scheduler.run( 8'880ms );
    s.grant( "m2" );
    CHECK( s.f.targets.all.size() == 1 );
    CHECK( s.placements.released.size() == 1 );
}

TEST_CASE( "each attempt after the first counts as one retry",
           "[exchange][silence][metrics]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    s.at( 1 ).lose( false );
    s.grant( "m3" );
    REQUIRE( s.f.targets.all.size() == 3 );
    CHECK( s.f.context.counters.retries.value() == 2 );
}

TEST_CASE( "one period of silence counts as one failure of its target",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.f.retries.set_allowance( { 0, 0, 10s } );
    s.fall_silent();
    s.f.scheduler.run( 6s );
    CHECK( s.f.announcer.failed.size() == 1 );
    s.first().event( 3 );
    // The coordinators hear of it when other targets could have answered.
    s.f.scheduler.run( past_silence_timeout + 1s );
    CHECK( s.f.announcer.failed.size() == 2 );
}

TEST_CASE( "an error answer of a call's hedge is passed on at once",
           "[exchange][silence]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    f.scheduler.run( 700ms );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->answer( 500, "own" );
    CHECK( f.answer->whole.status == 500 );
    CHECK( f.answer->whole.body == "own" );
    CHECK( f.targets.all[0]->cancelled );
    CHECK( f.announcer.open == 0 );
}

TEST_CASE( "an answer that has begun survives targets that refuse connections",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.first().head( 200 );
    s.first().event( 1 );
    s.first().event( 2 );
    s.first().lose();
    for ( auto i = std::size_t{ 1 }; i <= 6; ++i )
    {
        REQUIRE( s.placements.all.size() == i + 1 );
        s.grant( i % 2 == 0 ? "m2" : "m3" );
        REQUIRE( s.f.targets.all.size() == i + 1 );
        s.at( i ).lose( false );
        s.f.scheduler.run( 300ms );
    }
    CHECK_FALSE( s.f.answer->aborted );
    s.grant( "m2" );
    s.at( 7 ).head( 200 );
    s.at( 7 ).event( 3 );
    s.at( 7 ).complete();
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
}

TEST_CASE(
    "quarantined content starts at no other target, and its silent attempt "
    "may go on",
    "[exchange][silence][content]" )
{
    auto s = held_stream{};
    s.fall_silent();
    auto const quarantine = [&s]
    {
        auto const content = s.placements.all[0].request.content;
        for ( auto const* id : { "e1", "e2", "e3" } )
            s.f.crashes.note_crash( { { exchange::suspect_of( content ) },
                                      core::target_id( id ),
                                      s.f.scheduler.now() } );
        s.f.crashes.note_ended( core::target_id( "e3" ) );
        s.open->on_quarantine_changed();
    };
    SECTION( "while the hedge prefills" )
    {
        s.grant( "m2" );
        REQUIRE( s.f.targets.all.size() == 2 );
        quarantine();
        CHECK( s.at( 1 ).cancelled );
        CHECK( s.f.announcer.open == 1 );
    }
    SECTION( "while the hedge waits for its placement" )
    {
        quarantine();
        s.grant( "m2" );
        CHECK( s.f.targets.all.size() == 1 );
    }
    CHECK_FALSE( s.first().cancelled );
    s.first().event( 3 );
    s.first().complete();
    CHECK( s.f.answer->ended );
}

TEST_CASE( "two silent targets both stay open", "[exchange][silence]" )
{
    auto s = held_stream{ 3 };
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    s.f.scheduler.run( 3s );
    CHECK( s.placements.all.size() == 2 );
    SECTION( "the first one sends an event" )
    {
        s.first().event( 3 );
        s.first().complete();
    }
    SECTION( "the second one sends an event" )
    {
        s.at( 1 ).head( 200 );
        s.at( 1 ).event( 3 );
        s.at( 1 ).complete();
    }
    SECTION( "the first one is lost, and a third one is tried" )
    {
        s.first().lose();
        s.f.scheduler.run( past_silence_timeout );
        REQUIRE( s.placements.all.size() == 3 );
        s.grant( "m3" );
        REQUIRE( s.f.targets.all.size() == 3 );
        s.at( 2 ).head( 200 );
        s.at( 2 ).event( 3 );
        s.at( 2 ).complete();
    }
    CHECK( s.f.answer->stream == three_events );
    CHECK( s.f.answer->ended );
    CHECK( s.f.announcer.open == 0 );
    for ( auto const* id : { "m1", "m2", "m3" } )
        CHECK( s.f.loads.find( core::target_id( id ) )->load.requests == 0 );
}

TEST_CASE( "the end of a request cancels its silent target too",
           "[exchange][silence][caller]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    SECTION( "its caller disconnects" )
    {
        s.open->on_caller_gone();
    }
    SECTION( "its deadline passes" )
    {
        s.f.scheduler.run( 10s );
    }
    SECTION( "the process ends" )
    {
        s.open->abandon( "process_ends" );
    }
    CHECK( s.first().cancelled );
    CHECK( s.f.targets.all[1]->cancelled );
    CHECK( s.f.announcer.open == 0 );
    CHECK( s.f.context.open.empty() );
}
