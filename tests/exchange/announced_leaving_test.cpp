#include "support/exchange_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

// A target may announce in an answer that it is leaving. If instances ignore
// that, they learn of it from the registry only, and not at all while the
// platform's store is away: they send further calls to the target, which are
// cut short when it ends.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto answer_announcing_leaving( sent_request& request, int status = 200 )
    -> void
{
    auto head = exchange::answer_head{};
    head.status = status;
    head.has_seal = true;
    head.announces_leaving = true;
    head.proves_not_run = status == 503;
    request.listener->on_head( std::move( head ) );
    request.complete();
}

auto logged_leaving( recorded_events const& log, std::string const& target )
    -> bool
{
    return std::any_of( log.all.begin(), log.all.end(),
                        [&]( auto const& logged )
                        {
                            auto const* const change =
                                std::get_if<exchange::state_change>( &logged );
                            return change != nullptr &&
                                   change->name == target &&
                                   change->now == "leaving";
                        } );
}

}

TEST_CASE( "an announced leaving is logged", "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    auto const target = f.targets.all[0]->request.target;
    answer_announcing_leaving( *f.targets.all[0] );
    CHECK( f.answer->whole.status == 200 );
    CHECK( logged_leaving( f.log, target.str() ) );
}

TEST_CASE(
    "a plain target gets no more calls once it has announced its leaving",
    "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    auto const status = GENERATE( 200, 500, 503 );
    f.start( f.request( "/safe/x" ) );
    auto const leaving = f.targets.all[0]->request.target;
    answer_announcing_leaving( *f.targets.all[0], status );
    if ( status != 200 )
        f.targets.all.at( 1 )->answer( 200, "body" );
    // An update of the registry may be older than the answer.
    auto properties = make_target( leaving.str(), "plain" );
    f.loads.put( properties );
    for ( auto i = 0; i < 8; ++i )
    {
        auto const before = f.targets.all.size();
        f.start( f.request( "/safe/x" ) );
        REQUIRE( f.targets.all.size() > before );
        CHECK( f.targets.all.back()->request.target != leaving );
        f.targets.all.back()->answer( 200, "body" );
    }
    SECTION( "a call is refused if no other target is left" )
    {
        for ( auto const* id : { "p1", "p2" } )
            if ( core::target_id( id ) != leaving )
                f.loads.mark_gone( core::target_id( id ) );
        auto const before = f.targets.all.size();
        f.start( f.request( "/safe/x" ) );
        CHECK( f.answer->whole.status == 503 );
        if ( f.targets.all.size() > before )
            f.targets.all.back()->answer( 200, "body" );
        CHECK( f.targets.all.size() == before );
    }
}

TEST_CASE( "an engine gets no more prompts once it has announced its leaving",
           "[exchange][leaving]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    REQUIRE( f.targets.all.size() == 1 );
    auto const leaving = f.targets.all[0]->request.target;
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
        CHECK( f.targets.all.back()->request.target != leaving );
    }
    // The request that is in progress there continues to its end.
    CHECK_FALSE( f.targets.all[0]->cancelled );
    for ( auto const& sent : f.targets.all )
        if ( sent->request.target == leaving )
            sent->complete();
        else
            sent->answer( 200, "" );
}

TEST_CASE( "instances tell each other of an announced leaving",
           "[exchange][leaving]" )
{
    auto fleet = exchange_fleet( 4, 6, 3 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto& service = path == "/chat/o" ? fleet.engines : fleet.plain;
    auto number = 0;
    auto const run_load = [&]( core::duration time )
    {
        for ( auto at = core::duration( 0 ); at < time; at += 20ms )
        {
            ++number;
            fleet.call( number % fleet.size(), path, std::to_string( number ) );
            fleet.scheduler.run( 20ms );
        }
    };
    run_load( 1s );
    // The registry does not learn of it.
    auto const leaving = service.properties().front().id;
    service.announce_leaving( leaving );
    run_load( 1s );
    auto const later = fleet.scheduler.now();
    run_load( 3s );
    fleet.scheduler.run( 3s );
    for ( auto const& run : service.runs )
        if ( run.sent_at >= later )
            CHECK( run.target != leaving );
}
