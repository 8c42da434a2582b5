#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

// What callers saw: calls were cut short, and ended with 504, at a target that
// had said two seconds before, in its answer to a call of the same instance,
// that it leaves. The platform's store was away at that time.
//
// Cause: what answers say of their target was not read. Instances knew of a
// leaving from the registry alone, which hears of none while the store is away.
//
// Evidence: on that day no instance's log had a line on the target between its
// start and the store's return, 13 calls of that instance went there within six
// seconds of the answer, and no code read the header. Before the mend the tests
// below sent to a target that had just said so; the first and the third play no
// trouble of the store at all.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto answer_that_leaves( sent_request& request, int status = 200 ) -> void
{
    auto head = exchange::answer_head{};
    head.status = status;
    head.has_seal = true;
    head.announces_leaving = true;
    head.proves_not_run = status == 503;
    request.listener->on_head( std::move( head ) );
    request.complete();
}

auto was_logged( recorded_events const& log, std::string const& target ) -> bool
{
    return std::any_of( log.all.begin(), log.all.end(),
                        [&]( auto const& what )
                        {
                            auto const* const change =
                                std::get_if<exchange::state_change>( &what );
                            return change != nullptr &&
                                   change->name == target &&
                                   change->now == "leaving";
                        } );
}

}

TEST_CASE( "the log tells that an answer says its target leaves",
           "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    auto const target = f.targets.all[0]->request.target;
    answer_that_leaves( *f.targets.all[0] );
    CHECK( f.answer->whole.status == 200 );
    CHECK( was_logged( f.log, target.str() ) );
}

TEST_CASE( "a target gets nothing more once it has said that it leaves",
           "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    auto const status = GENERATE( 200, 500, 503 );
    f.start( f.request( "/safe/x" ) );
    auto const leaves = f.targets.all[0]->request.target;
    answer_that_leaves( *f.targets.all[0], status );
    if ( status != 200 )
        f.targets.all.at( 1 )->answer( 200, "body" );
    // The registry's news may be older than the answer.
    auto properties = make_target( leaves.str(), "plain" );
    f.loads.put( properties );
    for ( auto i = 0; i < 8; ++i )
    {
        auto const before = f.targets.all.size();
        f.start( f.request( "/safe/x" ) );
        REQUIRE( f.targets.all.size() > before );
        CHECK( f.targets.all.back()->request.target != leaves );
        f.targets.all.back()->answer( 200, "body" );
    }
    SECTION( "and a call is refused where no other is left" )
    {
        for ( auto const* id : { "p1", "p2" } )
            if ( core::target_id( id ) != leaves )
                f.loads.mark_gone( core::target_id( id ) );
        auto const before = f.targets.all.size();
        f.start( f.request( "/safe/x" ) );
        CHECK( f.answer->whole.status == 503 );
        if ( f.targets.all.size() > before )
            f.targets.all.back()->answer( 200, "body" );
        CHECK( f.targets.all.size() == before );
    }
}

TEST_CASE( "an engine gets nothing more once it has said that it leaves",
           "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    REQUIRE( f.targets.all.size() == 1 );
    auto const leaves = f.targets.all[0]->request.target;
    auto head = exchange::answer_head{};
    head.status = 200;
    head.has_seal = true;
    head.announces_leaving = true;
    f.targets.all[0]->listener->on_head( std::move( head ) );
    f.targets.all[0]->event( 1 );
    for ( auto i = 0; i < 8; ++i )
    {
        f.start( f.request( "/chat/x" ) );
        REQUIRE( f.targets.all.size() == static_cast<std::size_t>( i ) + 2 );
        CHECK( f.targets.all.back()->request.target != leaves );
    }
    // What is under way there goes on to its end.
    CHECK_FALSE( f.targets.all[0]->cancelled );
    for ( auto const& sent : f.targets.all )
        if ( sent->request.target == leaves )
            sent->complete();
        else
            sent->answer( 200, "" );
}

TEST_CASE( "instances tell each other what a target's answer said",
           "[exchange][leaving]" )
{
    auto fleet = exchange_fleet( 4, 6, 3 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    auto number = 0;
    auto const play = [&]( core::duration time )
    {
        for ( auto at = core::duration( 0 ); at < time; at += 20ms )
        {
            ++number;
            fleet.call( number % fleet.size(), path, std::to_string( number ) );
            fleet.scheduler.run( 20ms );
        }
    };
    play( 1s );
    // The registry does not hear of it.
    auto const leaves = service.properties().front().id;
    service.announce_leaving( leaves );
    play( 1s );
    auto const later = fleet.scheduler.now();
    play( 3s );
    fleet.scheduler.run( 3s );
    for ( auto const& run : service.runs )
        if ( run.sent_at >= later )
            CHECK( run.target != leaves );
}
