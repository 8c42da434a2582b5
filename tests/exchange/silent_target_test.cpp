#include "support/held_stream.hpp"

#include <catch2/catch.hpp>

// A target that says nothing for a while may live. What callers must not see
// of its silence is the end of their answer.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// With the above, more than callers wait for a first event.
constexpr auto rest_of_patience = core::duration( 1'200ms );

constexpr auto three_events =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

}

TEST_CASE( "an answer that has begun is not ended by its target's silence",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    SECTION( "where no other has room" )
    {
        s.fall_silent();
        s.f.scheduler.run( rest_of_patience );
    }
    SECTION( "where no repeat is left in the budget" )
    {
        s.f.retries.set_allowance( { 0, 0, 10s } );
        s.fall_silent();
    }
    SECTION( "where another place is refused" )
    {
        s.fall_silent();
        REQUIRE( s.placements.all.size() == 2 );
        s.placements.all[1].listener->on_refused( { "too_large", 0ms } );
    }
    SECTION( "where its content is quarantined" )
    {
        auto const content = s.placements.all[0].request.content;
        for ( auto const* id : { "e1", "e2", "e3" } )
            s.f.crashes.note_crash( { content,
                                      { core::target_id( id ), {} },
                                      s.f.scheduler.now() } );
        s.f.crashes.confirm( content );
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

TEST_CASE(
    "a call is not ended by its target's silence where there is no other",
    "[exchange][silence]" )
{
    auto f = exchange_fixture{};
    SECTION( "no other target" )
    {
        f.loads.mark_gone( core::target_id( "p2" ) );
    }
    SECTION( "no repeat left in the budget" )
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

TEST_CASE( "an answer that has begun waits for room until its time is over",
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

TEST_CASE( "of a silent target and the place found instead, the first to speak "
           "goes on",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    auto& second = *s.f.targets.all[1];
    CHECK( second.request.text->find( "after 2" ) != std::string::npos );
    CHECK_FALSE( s.first().cancelled );
    SECTION( "the silent one" )
    {
        s.first().event( 3 );
        CHECK( second.cancelled );
        s.first().complete();
    }
    SECTION( "the other one" )
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

TEST_CASE( "a silent target that does not go on ends no other place",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    SECTION( "it breaks off in the middle of an event" )
    {
        s.first().listener->on_body( "id: 3\nda" );
        CHECK_FALSE( s.at( 1 ).cancelled );
        s.first().lose();
    }
    SECTION( "it ends in the middle of an event" )
    {
        s.first().listener->on_body( "id: 3\nda" );
        s.first().complete();
    }
    SECTION( "it leaves events out" )
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

TEST_CASE( "a silent call that ends without its digest ends no other one",
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

TEST_CASE( "where the place found instead fails, the silent target may go on",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    auto& second = *s.f.targets.all[1];
    SECTION( "it breaks off" )
    {
        second.lose();
    }
    SECTION( "it turns the request away" )
    {
        second.turn_away();
    }
    SECTION( "it answers with a failure" )
    {
        second.answer( 500, "no" );
    }
    SECTION( "it does not resume the stream" )
    {
        second.answer( 404, "no" );
    }
    SECTION( "its events leave some out" )
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

TEST_CASE( "a place that is found after the silent target has spoken is given "
           "back",
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

TEST_CASE( "memory that is found after the silent target has spoken is given "
           "back",
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

TEST_CASE( "a silent target that breaks after all leaves what is looked for",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    SECTION( "before a place is found" )
    {
        s.first().lose();
        s.f.scheduler.run( rest_of_patience );
        s.grant( "m2" );
    }
    SECTION( "after it" )
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

TEST_CASE( "a request that has heard nothing is told before its caller leaves, "
           "once its silent target is lost",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.f.scheduler.run( 1'500ms );
    REQUIRE( s.placements.all.size() == 2 );
    SECTION( "at the end of its patience" )
    {
        s.first().lose();
        s.f.scheduler.run( 340ms );
        CHECK_FALSE( s.f.answer->ended );
        s.f.scheduler.run( 20ms );
    }
    SECTION( "or at once behind it" )
    {
        s.f.scheduler.run( 450ms );
        CHECK_FALSE( s.f.answer->ended );
        s.first().lose();
    }
    CHECK( s.f.answer->whole.status == 502 );
}

TEST_CASE( "a repeat is taken from the budget when it is sent",
           "[exchange][silence][budget]" )
{
    auto s = held_stream{};
    auto const model = core::service_id( "model" );
    // One repeat for this instance, whatever is asked for.
    s.f.retries.set_allowance( { 0, 1.4, 10s } );
    s.fall_silent();
    REQUIRE( s.placements.all.size() == 2 );
    SECTION( "not before, so that others may use it" )
    {
        CHECK( s.f.retries.take( model, s.f.scheduler.now() ) );
        s.grant( "m2" );
        CHECK( s.f.targets.all.size() == 1 );
        CHECK( s.placements.released.size() == 1 );
        CHECK_FALSE( s.first().cancelled );
    }
    SECTION( "not where it was not needed" )
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

TEST_CASE( "a place that is had as the time ends is given back",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.f.scheduler.run( 8'880ms );
    s.grant( "m2" );
    CHECK( s.f.targets.all.size() == 1 );
    CHECK( s.placements.released.size() == 1 );
}

TEST_CASE( "each target reached beyond the first counts as one repeat",
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

TEST_CASE( "one silence counts as one failure of its target",
           "[exchange][silence]" )
{
    auto s = held_stream{};
    s.f.retries.set_allowance( { 0, 0, 10s } );
    s.fall_silent();
    s.f.scheduler.run( 6s );
    CHECK( s.f.announcer.failed.size() == 1 );
    s.first().event( 3 );
    s.f.scheduler.run( longer_than_tolerated );
    CHECK( s.f.announcer.failed.size() == 2 );
}

TEST_CASE( "a call's failure at the second target is passed on at once",
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

TEST_CASE( "an answer that has begun outlasts targets that take no connection",
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

TEST_CASE( "a content that is quarantined starts at no other place, and its "
           "silent run may go on",
           "[exchange][silence][content]" )
{
    auto s = held_stream{};
    s.fall_silent();
    auto const content = s.placements.all[0].request.content;
    SECTION( "while the other place reads" )
    {
        s.grant( "m2" );
        REQUIRE( s.f.targets.all.size() == 2 );
        s.open->on_quarantined( content );
        CHECK( s.at( 1 ).cancelled );
        CHECK( s.f.announcer.open == 1 );
    }
    SECTION( "while a place is asked for" )
    {
        s.open->on_quarantined( content );
        s.grant( "m2" );
        CHECK( s.f.targets.all.size() == 1 );
    }
    CHECK_FALSE( s.first().cancelled );
    s.first().event( 3 );
    s.first().complete();
    CHECK( s.f.answer->ended );
}

TEST_CASE( "two targets that are silent stay open both", "[exchange][silence]" )
{
    auto s = held_stream{ 3 };
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    s.f.scheduler.run( 3s );
    CHECK( s.placements.all.size() == 2 );
    SECTION( "the first one speaks" )
    {
        s.first().event( 3 );
        s.first().complete();
    }
    SECTION( "the second one speaks" )
    {
        s.at( 1 ).head( 200 );
        s.at( 1 ).event( 3 );
        s.at( 1 ).complete();
    }
    SECTION( "the first one is lost, and a third one is tried" )
    {
        s.first().lose();
        s.f.scheduler.run( longer_than_tolerated );
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

TEST_CASE( "the end of a request ends its silent target's work too",
           "[exchange][silence][caller]" )
{
    auto s = held_stream{};
    s.fall_silent();
    s.grant( "m2" );
    REQUIRE( s.f.targets.all.size() == 2 );
    SECTION( "its caller leaves" )
    {
        s.open->on_caller_gone();
    }
    SECTION( "its time is over" )
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
