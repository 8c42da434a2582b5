#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// An instance reports a crash once it knows that its network path is sound.
constexpr auto report_time = core::duration( 3s );

}

// Answers without a length or chunks, which end with their connection: a crash
// of the target ends them in the same way.

TEST_CASE( "an answer that ends by close is passed on if its target lives",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    auto const path = GENERATE( as<std::string>{}, "/safe/x", "/unsafe/x" );
    f.start( f.request( path ) );
    REQUIRE( f.targets.all.size() == 1 );
    auto& first = *f.targets.all[0];
    first.head( 200 );
    first.listener->on_body( "body" );
    first.close();
    CHECK( f.probe.probed.size() == 1 );
    CHECK( f.probe.probed.at( 0 ) == first.request.address );
    CHECK( f.answer->whole.status == 200 );
    CHECK( f.answer->whole.body == "body" );
    CHECK( f.announcer.crashed.empty() );
}

TEST_CASE( "an answer that ends by close is not passed on if its target ended",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    f.probe.listens =
        GENERATE( std::optional<bool>( false ), std::optional<bool>{} );
    SECTION( "a safe call runs at another target" )
    {
        f.start( f.request( "/safe/x" ) );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->close();
        REQUIRE( f.targets.all.size() == 2 );
        f.targets.all[1]->answer( 200, "whole" );
        CHECK( f.answer->whole.body == "whole" );
    }
    SECTION( "a call that is not idempotent fails" )
    {
        f.start( f.request( "/unsafe/x" ) );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->close();
        CHECK( f.targets.all.size() == 1 );
        CHECK( f.answer->whole.status == 502 );
    }
    f.scheduler.run( report_time );
    // Only a refused connection shows that the target has crashed.
    CHECK( f.announcer.crashed.size() == ( f.probe.listens ? 1 : 0 ) );
}

TEST_CASE( "a head without length or body is not passed on as an empty answer",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    SECTION( "a safe call runs at another target" )
    {
        f.start( f.request( "/safe/x" ) );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->close();
        REQUIRE( f.targets.all.size() == 2 );
        f.targets.all[1]->answer( 200, "whole" );
        CHECK( f.answer->whole.body == "whole" );
    }
    SECTION( "a call or stream that may run once fails" )
    {
        auto const path = GENERATE( as<std::string>{}, "/unsafe/x", "/once/x" );
        f.start( f.request( path ) );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->close();
        CHECK( f.targets.all.size() == 1 );
        CHECK( f.answer->whole.status == 502 );
        CHECK( f.answer->stream_status == 0 );
    }
    SECTION( "a stream that may be resumed runs at another target" )
    {
        f.start( f.request( "/chat/x" ) );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->close();
        REQUIRE( f.targets.all.size() == 2 );
        f.targets.all[1]->head( 200 );
        f.targets.all[1]->event( 1 );
        f.targets.all[1]->complete();
        CHECK( f.answer->ended );
    }
    f.scheduler.run( report_time );
    // The target lives, so the content has crashed nothing.
    CHECK( f.announcer.crashed.empty() );
}

TEST_CASE( "a stream that its target's end cuts is resumed or aborted",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    auto const ends_inside_event = GENERATE( false, true );
    // What ends inside an event has been cut whether or not the target lives.
    f.probe.listens = ends_inside_event;
    auto const cut = [&]( sent_request& target )
    {
        target.head( 200 );
        target.event( 1 );
        if ( ends_inside_event )
            target.listener->on_body( "id: 2\nda" );
        target.close();
    };
    SECTION( "it is resumed after the last whole event" )
    {
        f.start( f.request( "/chat/x" ) );
        REQUIRE( f.targets.all.size() == 1 );
        cut( *f.targets.all[0] );
        REQUIRE( f.targets.all.size() == 2 );
        CHECK( f.targets.all[1]->request.head->find( "after 1" ) !=
               std::string::npos );
        f.targets.all[1]->head( 200 );
        f.targets.all[1]->event( 2 );
        f.targets.all[1]->complete();
        CHECK( f.answer->stream == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" );
        CHECK( f.answer->ended );
    }
    SECTION( "a stream that cannot be resumed is aborted" )
    {
        f.start( f.request( "/once/x" ) );
        REQUIRE( f.targets.all.size() == 1 );
        cut( *f.targets.all[0] );
        CHECK( f.targets.all.size() == 1 );
        CHECK( f.answer->aborted );
        CHECK_FALSE( f.answer->ended );
    }
    f.scheduler.run( report_time );
    CHECK( f.announcer.crashed.size() == 1 );
}

TEST_CASE( "a failure that ends by close is passed on without a check",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    f.probe.listens = false;
    f.start( f.request( "/unsafe/x" ) );
    f.targets.all[0]->head( 500 );
    f.targets.all[0]->close();
    CHECK( f.probe.probed.empty() );
    CHECK( f.answer->whole.status == 500 );
}

TEST_CASE( "a caller that leaves while a target is checked ends its request",
           "[exchange][close]" )
{
    auto f = exchange_fixture{};
    f.probe.answers_at_once = false;
    auto const open = f.start( f.request( "/safe/x" ) );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->close();
    open->on_caller_gone();
    f.probe.answer();
    CHECK( f.context.open.empty() );
    CHECK( f.announcer.open == 0 );
}

TEST_CASE( "an answer that has gone on for long clears the parts of its prompt",
           "[exchange][close][crash]" )
{
    auto f = exchange_fixture{};
    auto request = f.request( "/once/x" );
    request.prompt->shared_parts = { exchange::prompt_part_id( 1 ),
                                     exchange::prompt_part_id( 2 ) };
    auto const parts = exchange::prompt_parts_of(
        exchange::suspects_of( {}, request.prompt->shared_parts ) );
    f.start( std::move( request ) );
    REQUIRE( f.targets.all.size() == 1 );
    f.targets.all[0]->head( 200 );
    f.targets.all[0]->event( 1 );
    SECTION( "an attempt that breaks off soon accuses all" )
    {
        f.scheduler.run( 400ms );
        f.targets.all[0]->event( 2 );
        f.targets.all[0]->lose();
        f.scheduler.run( report_time );
        REQUIRE( f.announcer.crashed.size() == 1 );
        CHECK(
            exchange::contains_all( f.announcer.crashed[0].suspects, parts ) );
        CHECK( f.announcer.sound_parts.empty() );
    }
    SECTION( "one that breaks off later accuses its content only" )
    {
        f.scheduler.run( 600ms );
        f.targets.all[0]->event( 2 );
        CHECK( f.announcer.sound_parts == parts );
        f.targets.all[0]->lose();
        f.scheduler.run( report_time );
        REQUIRE( f.announcer.crashed.size() == 1 );
        CHECK( exchange::prompt_parts_of( f.announcer.crashed[0].suspects )
                   .empty() );
        CHECK( f.announcer.crashed[0].suspects.size() == 1 );
        CHECK( f.announcer.cleared == parts );
    }
}
