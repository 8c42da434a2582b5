#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "a target's answer is passed on with its status and body unchanged",
           "[exchange]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x?y=1" ) );
    REQUIRE( f.targets.all.size() == 1 );
    CHECK( f.targets.all[0]->request.head->find( "POST /safe/x?y=1 " ) == 0 );
    f.targets.all[0]->answer( 200, "body" );
    CHECK( f.answer->whole.status == 200 );
    CHECK( f.answer->whole.body == "body" );
    CHECK( f.announcer.open == 0 );
    CHECK( f.context.open.empty() );
}

TEST_CASE( "the key selects the workspace and an unknown key is refused",
           "[exchange][keys]" )
{
    auto f = exchange_fixture{};
    SECTION( "known" )
    {
        auto const open = f.start( f.request( "/safe/x" ) );
        REQUIRE( f.targets.all.size() == 1 );
        CHECK( f.targets.all[0]->request.head->find( "for ws" ) !=
               std::string::npos );
        open->on_caller_gone();
    }
    SECTION( "unknown" )
    {
        auto r = f.request( "/safe/x" );
        r.key = "other";
        f.start( r );
        CHECK( f.targets.all.empty() );
        CHECK( f.answer->whole.status == 401 );
    }
    SECTION( "a public route needs no key" )
    {
        auto r = f.request( "/open/x" );
        r.key = "";
        auto const open = f.start( r );
        CHECK( f.targets.all.size() == 1 );
        open->on_caller_gone();
    }
}

TEST_CASE( "without a configuration the answer is 503 and never 401 or 404",
           "[exchange][configuration]" )
{
    auto f = exchange_fixture{};
    f.context.configuration = nullptr;
    f.start( f.request( "/nowhere/" ) );
    // A configuration may arrive any moment, while a refusal would cost the
    // caller one of its attempts.
    f.scheduler.run( 390ms );
    CHECK_FALSE( f.answer->ended );
    f.scheduler.run( 20ms );
    CHECK( f.answer->whole.status == 503 );
    CHECK_FALSE( f.answer->header( "Retry-After" ).empty() );
}

TEST_CASE( "a request waits for the instance's first configuration",
           "[exchange][configuration]" )
{
    auto f = exchange_fixture{};
    f.context.configuration = nullptr;
    SECTION( "and is served under it" )
    {
        auto const open = f.start( f.request( "/chat/x" ) );
        f.scheduler.run( 25ms );
        CHECK( f.targets.all.empty() );
        f.context.configuration = sample_configuration( 1 );
        f.queue.schedule_round();
        f.scheduler.run( 5ms );
        REQUIRE( f.targets.all.size() == 1 );
        // The timer that refuses requests without a configuration is cancelled.
        f.scheduler.run( 500ms );
        CHECK( f.answer->whole.status == 0 );
        open->on_caller_gone();
    }
    SECTION( "and is refused under it" )
    {
        f.start( f.request( "/nowhere/" ) );
        f.context.configuration = sample_configuration( 1 );
        f.queue.schedule_round();
        f.scheduler.run( 5ms );
        CHECK( f.answer->whole.status == 404 );
    }
    SECTION( "unless its caller disconnects" )
    {
        f.start( f.request( "/chat/x" ) )->on_caller_gone();
        f.context.configuration = sample_configuration( 1 );
        f.queue.schedule_round();
        f.scheduler.run( 500ms );
        CHECK( f.targets.all.empty() );
        CHECK_FALSE( f.answer->ended );
    }
}

TEST_CASE( "a request that matches no route gets 404",
           "[exchange][configuration]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/nowhere/" ) );
    CHECK( f.answer->whole.status == 404 );
}

TEST_CASE( "a failed safe call is retried at another target",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    SECTION( "its connection is lost" )
    {
        f.targets.all[0]->lose();
    }
    SECTION( "the target fails" )
    {
        f.targets.all[0]->answer( 500, "no" );
    }
    SECTION( "the target is silent" )
    {
        f.scheduler.run( 700ms );
        // The silent target may still answer first.
        CHECK_FALSE( f.targets.all[0]->cancelled );
    }
    SECTION( "a success has no digest" )
    {
        f.targets.all[0]->head( 200, false );
        f.targets.all[0]->complete();
    }
    REQUIRE( f.targets.all.size() == 2 );
    CHECK( f.targets.all[0]->request.target !=
           f.targets.all[1]->request.target );
    f.targets.all[1]->answer( 200, "yes" );
    CHECK( f.answer->whole.status == 200 );
    CHECK( f.targets.all[0]->cancelled );
    CHECK( f.announcer.open == 0 );
}

TEST_CASE( "an unsafe call that may have run is never retried",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/unsafe/x" ) );
    SECTION( "its connection is lost after it was sent" )
    {
        f.targets.all[0]->lose();
        CHECK( f.answer->whole.status == 502 );
    }
    SECTION( "the target answers with an error" )
    {
        f.targets.all[0]->answer( 500, "no" );
        CHECK( f.answer->whole.status == 500 );
    }
    SECTION( "the target is silent until the deadline" )
    {
        f.scheduler.run( 11s );
        CHECK( f.answer->whole.status == 504 );
    }
    CHECK( f.targets.all.size() == 1 );
}

TEST_CASE( "an unsafe call that was not run is sent to another target",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/unsafe/x" ) );
    SECTION( "the target rejects it as not run" )
    {
        f.targets.all[0]->reject();
    }
    SECTION( "another instance has the address" )
    {
        f.targets.all[0]->reject( 421 );
    }
    SECTION( "no connection was established" )
    {
        f.targets.all[0]->lose( false );
    }
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->answer( 200, "yes" );
    CHECK( f.answer->whole.status == 200 );
}

TEST_CASE( "a retry that reached no target does not use up the retry budget",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.retries.set_allowance( { 0, 2, 10s } );
    f.start( f.request( "/chat/x" ) );
    f.targets.all[0]->lose( true );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->lose( false );
    CHECK( f.targets.all.size() == 3 );
}

TEST_CASE( "a call that every target rejected as not run gets 503",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/unsafe/x" ) );
    f.targets.all[0]->reject();
    f.targets.all[1]->reject();
    CHECK( f.answer->whole.status == 503 );
    CHECK_FALSE( f.answer->header( "Retry-After" ).empty() );
}

TEST_CASE( "a call that was lost and then rejected by another target gets 502",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    f.targets.all[0]->lose();
    f.targets.all[1]->reject();
    CHECK( f.answer->whole.status == 502 );
}

TEST_CASE( "a stream resumed at another target repeats and loses no event",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    auto& first = *f.targets.all[0];
    first.head( 200 );
    first.event( 1 );
    first.event( 2 );
    first.listener->on_body( "id: 3\nda" );
    first.lose();
    REQUIRE( f.targets.all.size() == 2 );
    CHECK( f.targets.all[1]->request.head->find( "after 2" ) !=
           std::string::npos );
    auto& second = *f.targets.all[1];
    second.head( 200 );
    second.event( 2 );
    second.event( 3 );
    second.complete();
    CHECK( f.answer->stream == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
                               "id: 3\ndata: x\n\n" );
    CHECK( f.answer->ended );
}

TEST_CASE( "a stream whose next event stays missing is aborted",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    f.targets.all[0]->event( 3 );
    CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 3 );
    CHECK( f.answer->aborted );
    CHECK_FALSE( f.answer->ended );
}

TEST_CASE( "events before a gap are sent after the head of the answer",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->listener->on_body( "id: 1\ndata: x\n\n"
                                         "id: 3\ndata: x\n\n" );
    CHECK( f.answer->stream_status == 200 );
    CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 2 );
    f.targets.all[1]->complete();
    CHECK( f.answer->ended );
}

TEST_CASE( "a lost stream that may not be resumed is aborted",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/once/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    f.targets.all[0]->lose();
    CHECK( f.targets.all.size() == 1 );
    CHECK( f.answer->aborted );
    CHECK_FALSE( f.answer->ended );
}

TEST_CASE( "a stream that ends within an event is aborted",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/once/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    f.targets.all[0]->listener->on_body( "id: 2\n" );
    f.targets.all[0]->complete();
    CHECK( f.answer->aborted );
}

TEST_CASE( "a request is cancelled at its target when the caller disconnects",
           "[exchange][caller]" )
{
    auto f = exchange_fixture{};
    auto const open = f.start( f.request( "/chat/x" ) );
    open->on_caller_gone();
    CHECK( f.targets.all[0]->cancelled );
    CHECK( f.announcer.open == 0 );
    CHECK( f.log.last_outcome() == "caller_gone" );
}

TEST_CASE( "a request ends at the timeout of its route", "[exchange][time]" )
{
    auto f = exchange_fixture{};
    auto r = f.request( "/unsafe/x" );
    r.time_limit = 60s;
    f.start( r );
    f.scheduler.run( 9'990ms );
    CHECK( f.answer->whole.status == 0 );
    f.scheduler.run( 20ms );
    CHECK( f.answer->whole.status == 504 );
    CHECK( f.targets.all[0]->cancelled );
}

TEST_CASE( "a process that is about to end admits only what can finish before",
           "[exchange][stop]" )
{
    auto f = exchange_fixture{};
    auto const ends_at = f.scheduler.now() + 1s;
    f.context.stop = exchange::planned_stop{ ends_at, ends_at };
    f.start( f.request( "/chat/x" ) );
    CHECK( f.answer->whole.status == 503 );
    f.answer = std::make_shared<recorded_channel>();
    auto const call = f.start( f.request( "/safe/x" ) );
    CHECK( f.targets.all.size() == 1 );
    call->abandon( "process_ends" );
    CHECK( f.answer->whole.status == 502 );
}

TEST_CASE( "once a stop is planned, a request that may outlast it is refused",
           "[exchange][stop]" )
{
    auto f = exchange_fixture{};
    auto const now = f.scheduler.now();
    f.context.stop = exchange::planned_stop{ now, now + 4s };
    SECTION( "a stream that may outlast the stop is refused" )
    {
        f.start( f.request( "/chat/x" ) );
        CHECK( f.targets.all.empty() );
        CHECK( f.answer->whole.status == 503 );
        CHECK( f.answer->header( "Retry-After" ) == "0.000" );
    }
    SECTION( "a call that ends before the stop is served" )
    {
        auto r = f.request( "/safe/x" );
        r.time_limit = 1s;
        f.start( r );
        REQUIRE( f.targets.all.size() == 1 );
        f.targets.all[0]->answer( 200, "yes" );
        CHECK( f.answer->whole.status == 200 );
    }
}

TEST_CASE( "a leaving target gets no new requests", "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    auto gone = make_target( "p1", "plain" );
    gone.leaving = true;
    f.loads.put( gone );
    for ( auto i = 0; i < 20; ++i )
    {
        f.start( f.request( "/safe/x" ) );
        CHECK( f.targets.all.back()->request.target ==
               core::target_id( "p2" ) );
        f.targets.all.back()->answer( 200, "" );
    }
}

TEST_CASE( "a stream whose caller does not read is aborted",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    f.answer->unsent = 2'000'000;
    f.targets.all[0]->event( 2 );
    CHECK( f.answer->aborted );
    CHECK( f.targets.all[0]->cancelled );
}

TEST_CASE( "a helper that a target reports as at fault is ejected everywhere",
           "[exchange][repeat]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    auto const first = f.targets.all[0]->request.target;
    auto const helper =
        core::target_id( first == core::target_id( "m1" ) ? "m2" : "m1" );
    auto const address =
        core::to_string( f.loads.find( helper )->properties.address );
    SECTION( "named by its address" )
    {
        f.targets.all[0]->reject( 503, address );
    }
    SECTION( "named by its id" )
    {
        f.targets.all[0]->reject( 503, helper.str() );
    }
    CHECK_FALSE( f.loads.find( helper )->may_get_work( f.scheduler.now() ) );
    CHECK( f.loads.find( first )->may_get_work( f.scheduler.now() ) );
    REQUIRE( f.announcer.ejected.size() == 1 );
    CHECK( f.announcer.ejected[0] == helper );
    REQUIRE( f.targets.all.size() == 2 );
    CHECK( f.targets.all[1]->request.target != helper );
    f.targets.all[1]->answer( 500, "" );
}

TEST_CASE( "an engine that is silent during a long prefill gets no hedge",
           "[exchange][stream]" )
{
    auto f = exchange_fixture{};
    auto const open = f.start( f.request( "/chat/" ) );
    REQUIRE( f.targets.all.size() == 1 );
    auto const sent = f.targets.all[0];
    sent->head( 200 );
    sent->event( 0 );
    // Another instance places a part with a prefill of 3 s on the engine.
    auto work = exchange::open_work{};
    work.serial = 1;
    work.parts = { { sent->request.target, 3'000, 0 } };
    f.loads.add_work( core::instance_id( "other" ), work, f.scheduler.now() );
    f.scheduler.run( 2'500ms );
    CHECK( f.targets.all.size() == 1 );
    SECTION( "but it does when the silence lasts longer" )
    {
        f.scheduler.run( 2s );
        CHECK( f.targets.all.size() == 2 );
    }
    open->on_caller_gone();
}

TEST_CASE( "a stream that needs another target waits for its placement",
           "[exchange][stream][repeat]" )
{
    auto placements = held_placements{};
    auto f = exchange_fixture( placements );
    auto const open = f.start( f.request( "/chat/" ) );
    REQUIRE( placements.all.size() == 1 );
    auto const grant = [&f]( std::uint64_t serial, char const* target )
    {
        auto granted = exchange::placement_grant{};
        granted.serial = serial;
        granted.choice.targets = { f.loads.find( core::target_id( target ) ) };
        granted.choice.parts = { { core::target_id( target ), 20, 6'000 } };
        return granted;
    };
    placements.all[0].listener->on_granted(
        grant( placements.all[0].request.serial, "m1" ) );
    REQUIRE( f.targets.all.size() == 1 );
    f.targets.all[0]->head( 200 );
    for ( auto i = 0; i < 5; ++i )
    {
        f.targets.all[0]->event( i );
        f.scheduler.run( 600ms );
    }
    // The request is now 3 s old; its caller waits 2 s for a first event.
    f.targets.all[0]->lose();
    REQUIRE( placements.all.size() == 2 );
    f.scheduler.run( 5ms );
    CHECK_FALSE( f.answer->aborted );
    placements.all[1].listener->on_granted(
        grant( placements.all[1].request.serial, "m2" ) );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 5 );
    f.targets.all[1]->complete();
    CHECK( f.answer->ended );
    CHECK( f.announcer.served == 1 );
}

TEST_CASE( "a grant for a caller that has disconnected is released",
           "[exchange][repeat]" )
{
    auto placements = held_placements{};
    auto f = exchange_fixture( placements );
    auto const open = f.start( f.request( "/chat/" ) );
    open->on_caller_gone();
    auto late = exchange::placement_grant{};
    late.serial = placements.all[0].request.serial;
    late.choice.targets = { f.loads.find( core::target_id( "m1" ) ) };
    late.choice.parts = { { core::target_id( "m1" ), 20, 6'000 } };
    placements.all[0].listener->on_granted( late );
    CHECK( f.targets.all.empty() );
    CHECK( placements.released == std::vector<std::uint64_t>{ late.serial } );
}

TEST_CASE( "a granted target that has begun to leave is not used",
           "[exchange][leaving]" )
{
    auto placements = held_placements{};
    auto f = exchange_fixture( placements );
    auto const open = f.start( f.request( "/chat/" ) );
    auto leaving = make_target( "m1", "model" );
    leaving.leaving = true;
    f.loads.put( leaving );
    auto granted = exchange::placement_grant{};
    granted.serial = placements.all[0].request.serial;
    granted.choice.targets = { f.loads.find( core::target_id( "m1" ) ) };
    granted.choice.parts = { { core::target_id( "m1" ), 20, 6'000 } };
    placements.all[0].listener->on_granted( granted );
    CHECK( f.targets.all.empty() );
    CHECK( placements.released.size() == 1 );
    f.scheduler.run( 100ms );
    REQUIRE( placements.all.size() == 2 );
    CHECK( placements.all[1].request.demand.tried ==
           std::vector<core::target_id>{ core::target_id( "m1" ) } );
    open->on_caller_gone();
}

TEST_CASE( "the log names the same content for every attempt of a request",
           "[exchange][log][content]" )
{
    auto f = exchange_fixture{};
    auto const name = [&f]( auto const& what )
    {
        auto const id =
            exchange::content_of( what, core::workspace_id( "ws" ) );
        return exchange::to_string( id );
    };
    auto first = f.request( "/safe/x" );
    auto const expected = name( first );
    f.start( std::move( first ) );
    f.targets.all[0]->lose();
    f.targets.all[1]->answer( 200, "body" );
    f.start( f.request( "/safe/x" ) );
    f.targets.all[2]->answer( 200, "body" );

    auto named = 0;
    for ( auto const& e : f.log.all )
        std::visit(
            [&]( auto const& what )
            {
                if constexpr ( requires { what.content; } )
                {
                    CHECK( exchange::to_string( what.content ) == expected );
                    ++named;
                }
            },
            e );
    // Three placements, one failed attempt and two ends of requests.
    CHECK( named == 6 );
}

TEST_CASE( "a call that may have run gets 502 when no other target is left",
           "[exchange][refusal]" )
{
    auto f = exchange_fixture{};
    f.loads.mark_gone( core::target_id( "p2" ) );
    f.start( f.request( "/safe/x" ) );
    REQUIRE( f.targets.all.size() == 1 );
    f.targets.all[0]->lose();
    CHECK( f.answer->whole.status == 502 );
}
