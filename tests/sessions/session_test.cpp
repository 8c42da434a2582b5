#include "support/test_fleet.hpp"
#include <pollenstream/core/invariant.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;
using ports::answer_status;

TEST_CASE( "a caller receives the whole answer", "[sessions]" )
{
    auto fleet = test_fleet( 2 );
    auto const prompt = make_prompt( 1'000 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 1min );
    REQUIRE( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
    CHECK( answer->finishes == 1 );
    CHECK( fleet.engines.memory_held() == 0 );
}

TEST_CASE( "late, duplicated and foreign events do not reach the caller",
           "[sessions]" )
{
    auto fleet = test_fleet( 1 );
    fleet.engines.set_crossed( true );
    auto const prompt = make_prompt( 500 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 1min );
    REQUIRE( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
    CHECK( fleet.instances.front()->metrics.stray_events.value() > 32 );
}

TEST_CASE( "an answer continues at another engine when its engine dies",
           "[sessions]" )
{
    auto fleet = test_fleet( 3 );
    auto const prompt = make_prompt( 1'000 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 180ms );
    REQUIRE( answer->tokens() > 0 );
    REQUIRE_FALSE( answer->end() );
    fleet.engines.kill( fleet.busy_engine() );
    fleet.engines.run_for( 1min );
    REQUIRE( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
    CHECK( fleet.engines.memory_held() == 0 );
}

TEST_CASE( "a broken connection is replaced and the stream resumed",
           "[sessions]" )
{
    auto fleet = test_fleet( 2 );
    auto const prompt = make_prompt( 1'000 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 180ms );
    REQUIRE( answer->tokens() > 0 );
    auto const engine = fleet.busy_engine();

    SECTION( "after it was closed" )
    {
        fleet.engines.cut_connections( engine );
    }
    SECTION( "after it went silent permanently" )
    {
        fleet.engines.silence_connections( engine );
    }
    fleet.engines.run_for( 1min );
    REQUIRE( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
    CHECK( fleet.engines.opens() == 1 );
    CHECK( fleet.instances.front()->metrics.resumes.value() == 1 );
}

TEST_CASE( "closing the caller's connection frees the engine's memory",
           "[sessions]" )
{
    auto fleet = test_fleet( 1 );

    SECTION( "while the answer streams" )
    {
        auto const answer = fleet.send( 1'000, patient_profile() );
        fleet.engines.run_for( 180ms );
        REQUIRE( answer->tokens() > 0 );
        answer->gone = true;
        fleet.engines.run_for( 100ms );
        CHECK( answer->finishes == 1 );
        CHECK( fleet.engines.memory_held() == 0 );
    }
    SECTION( "before the first token" )
    {
        auto const answer = fleet.send( 300'000, patient_profile() );
        fleet.engines.run_for( 100ms );
        REQUIRE( fleet.engines.memory_held() > 0 );
        answer->gone = true;
        fleet.engines.run_for( 2s );
        CHECK( answer->tokens() == 0 );
        CHECK( answer->finishes == 1 );
        CHECK( fleet.engines.memory_held() == 0 );
    }
    CHECK( fleet.instances.front()->metrics.callers_gone.value() == 1 );
}

TEST_CASE( "an admitted request ends by its deadline", "[sessions]" )
{
    auto fleet = test_fleet( 1 );
    auto profile = patient_profile();
    profile.time_base = 3s;
    profile.time_per_1k_tokens = 0ms;
    auto const answer = fleet.send( 1'000, profile );
    fleet.engines.run_for( 50ms );
    fleet.engines.set_hung( "engine-0", true );
    fleet.engines.run_for( 3s );
    REQUIRE( answer->end() );
    CHECK( answer->end()->status == answer_status::failed );
    CHECK( answer->end()->reason == "deadline" );
}

TEST_CASE( "a request refused as not run was sent to no engine", "[sessions]" )
{
    auto fleet = test_fleet( 2 );

    SECTION( "when the answer would come too late" )
    {
        auto profile = patient_profile();
        profile.time_base = 100ms;
        profile.time_per_1k_tokens = 0ms;
        auto const tokens = GENERATE( 100'000, 300'000 );
        auto const answer = fleet.send( tokens, profile );
        REQUIRE( answer->end() );
        CHECK( answer->end()->reason == "too-late" );
        CHECK( answer->end()->retry_after );
    }
    SECTION( "when the prompt fits into no set of targets" )
    {
        auto const answer = fleet.send( 5'000'000, patient_profile() );
        REQUIRE( answer->end() );
        CHECK( answer->end()->reason == "too-long" );
        CHECK_FALSE( answer->end()->retry_after );
    }
    SECTION( "when every target is leaving" )
    {
        for ( auto const& each : fleet.instances.front()->targets.all() )
            each->set_phase( routing::target_phase::leaving, fleet.time.now() );
        auto const answer = fleet.send( 1'000, patient_profile() );
        REQUIRE( answer->end() );
        CHECK( answer->end()->reason == "no-target" );
    }
    CHECK( fleet.engines.opens() == 0 );
}

TEST_CASE( "a request without a reachable target is reported as not run",
           "[sessions]" )
{
    auto fleet = test_fleet( 2 );
    fleet.engines.kill( "engine-0" );
    fleet.engines.kill( "engine-1" );
    auto const answer = fleet.send( 1'000, patient_profile() );
    fleet.engines.run_for( 1s );
    REQUIRE( answer->end() );
    CHECK( answer->end()->status == answer_status::not_run );
}

TEST_CASE( "the first retry is immediate, later ones pause",
           "[sessions][retries]" )
{
    auto fleet = test_fleet( 3 );
    for ( auto const* const id : { "engine-0", "engine-1", "engine-2" } )
        fleet.engines.kill( id );
    auto const answer = fleet.send( 1'000, patient_profile() );
    // Each refusal takes half a millisecond.
    fleet.engines.run_for( 10ms );
    CHECK( fleet.engines.opens() == 2 );
    fleet.engines.run_for( 1s );
    CHECK( fleet.engines.opens() > 2 );
}

TEST_CASE( "retries are limited by a budget", "[sessions]" )
{
    auto fleet = test_fleet( 1 );
    auto profile = patient_profile();
    profile.retries = 10;
    auto& retries = fleet.instances.front()->retries;
    while ( retries.take() )
    {
    }
    auto const answer = fleet.send( 1'000, profile );
    fleet.engines.run_for( 100ms );
    fleet.engines.kill( "engine-0" );
    fleet.engines.run_for( 1s );
    REQUIRE( answer->end() );
    CHECK( fleet.instances.front()->metrics.retries.value() == 0 );
}
