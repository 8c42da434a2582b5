#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

// Guards against passing on a success that lacks its target's digest: events
// must not be relayed before the head of their answer has been checked.

namespace
{

/// Exceeds the silence that is tolerated before the first event.
constexpr auto past_silence_timeout = core::duration( 1'500ms );

}

TEST_CASE( "no event of a stream without a digest reaches the caller",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    SECTION( "a stream that can be resumed starts anew at another target" )
    {
        f.start( f.request( "/chat/x" ) );
        auto& first = *f.targets.all.at( 0 );
        first.head( 200, false );
        first.event( 1 );
        CHECK( f.answer->stream_status == 0 );
        CHECK( f.answer->stream.empty() );
        CHECK( first.cancelled );
        REQUIRE( f.targets.all.size() == 2 );
        CHECK( f.targets.all[1]->request.head->find( "after" ) ==
               std::string::npos );
        f.targets.all[1]->head( 200 );
        f.targets.all[1]->event( 1 );
        f.targets.all[1]->complete();
        CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
        CHECK( f.answer->ended );
    }
    SECTION( "a stream that cannot be resumed fails at once" )
    {
        f.start( f.request( "/once/x" ) );
        f.targets.all.at( 0 )->head( 200, false );
        CHECK( f.targets.all.size() == 1 );
        CHECK( f.targets.all[0]->cancelled );
        CHECK( f.answer->stream_status == 0 );
        CHECK( f.answer->whole.status == 502 );
    }
}

TEST_CASE( "a resumed part without a digest is not joined to an answer",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    f.targets.all.at( 0 )->head( 200 );
    f.targets.all[0]->event( 1 );
    f.targets.all[0]->lose();
    auto& second = *f.targets.all.at( 1 );
    second.head( 200, false );
    second.event( 2 );
    CHECK( second.cancelled );
    CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
}

TEST_CASE( "a silent target that answers without a digest is given up",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    f.scheduler.run( past_silence_timeout );
    REQUIRE( f.targets.all.size() == 2 );
    auto& silent = *f.targets.all[0];
    silent.head( 200, false );
    silent.event( 1 );
    CHECK( silent.cancelled );
    CHECK( f.answer->stream_status == 0 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 1 );
    f.targets.all[1]->complete();
    CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
    CHECK( f.answer->ended );
}

TEST_CASE( "the caller gets a failure if no target sends a digest",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    for ( auto i = std::size_t{ 0 }; i < f.targets.all.size(); ++i )
    {
        f.targets.all[i]->head( 200, false );
        f.targets.all[i]->event( 1 );
    }
    CHECK( f.answer->stream_status == 0 );
    CHECK( f.answer->whole.status == 502 );
    CHECK( f.announcer.failed.size() == f.targets.all.size() );
}

TEST_CASE( "a call without a digest is retried before its body has arrived",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    f.targets.all.at( 0 )->head( 200, false );
    REQUIRE( f.targets.all.size() == 2 );
    CHECK( f.targets.all[0]->cancelled );
    f.targets.all[1]->answer( 200, "whole" );
    CHECK( f.answer->whole.body == "whole" );
}

TEST_CASE( "a success with a content coding is not passed on",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    auto head = exchange::answer_head{};
    head.status = 200;
    head.has_seal = true;
    head.has_coding = true;
    auto const path = GENERATE( as<std::string>{}, "/safe/x", "/chat/x" );
    f.start( f.request( path ) );
    f.targets.all.at( 0 )->listener->on_head( head );
    CHECK( f.targets.all[0]->cancelled );
    CHECK( f.targets.all.size() == 2 );
    CHECK( f.answer->stream_status == 0 );
}

TEST_CASE( "an answer of another type on a streaming route is passed on whole",
           "[exchange][digest]" )
{
    auto f = exchange_fixture{};
    auto head = exchange::answer_head{};
    head.status = 200;
    head.has_seal = true;
    head.is_event_stream = false;
    f.start( f.request( "/chat/x" ) );
    auto& first = *f.targets.all.at( 0 );
    SECTION( "it is complete" )
    {
        first.listener->on_head( head );
        first.listener->on_body( "no events" );
        CHECK( f.answer->whole.status == 0 );
        first.complete();
        CHECK( f.answer->whole.status == 200 );
        CHECK( f.answer->whole.body == "no events" );
    }
    SECTION( "it is cut short" )
    {
        first.listener->on_head( head );
        first.listener->on_body( "no ev" );
        first.lose();
        CHECK( f.targets.all.size() == 2 );
        CHECK( f.answer->whole.status == 0 );
    }
    SECTION( "it does not continue a stream that has begun" )
    {
        first.head( 200 );
        first.event( 1 );
        first.lose();
        auto& second = *f.targets.all.at( 1 );
        second.listener->on_head( head );
        CHECK( second.cancelled );
        CHECK( f.answer->stream == "id: 1\ndata: x\n\n" );
    }
}
