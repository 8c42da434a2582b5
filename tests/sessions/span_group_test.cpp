#include "support/scripted_fleet.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;
using ports::answer_status;

namespace
{

auto small_engine() -> standins::engine_settings
{
    auto settings = standins::engine_settings{};
    settings.memory_tokens = 100'000;
    return settings;
}

}

TEST_CASE( "a prompt that exceeds the memory of one engine is answered whole",
           "[spans]" )
{
    auto fleet = test_fleet( 4, small_engine() );
    auto const prompt = make_prompt( 250'000 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 5min );
    REQUIRE( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
    fleet.engines.run_for( 1s );
    CHECK( fleet.engines.memory_held() == 0 );
}

TEST_CASE( "instances that place long prompts at once do not deadlock",
           "[spans]" )
{
    auto fleet = test_fleet( 4, small_engine() );
    for ( auto i = 0; i < 5; ++i )
        fleet.add_instance();
    auto answers = std::vector<std::shared_ptr<recorded_answer>>{};
    for ( auto i = std::size_t{ 0 }; i < fleet.instances.size(); ++i )
        answers.push_back(
            fleet.send_through( i, 250'000, patient_profile() ) );
    fleet.engines.run_for( 20min );
    for ( auto const& each : answers )
    {
        INFO( each->end()->reason << ": " << each->end()->detail );
        CHECK( each->is_complete() );
    }
    CHECK( fleet.engines.memory_held() == 0 );
}

TEST_CASE( "a span group releases all memory", "[spans]" )
{
    auto fleet = test_fleet( 4, small_engine() );
    auto const answer = fleet.send( 250'000, patient_profile() );
    fleet.engines.run_for( 300ms );
    REQUIRE( fleet.engines.memory_held() > 200'000 );

    SECTION( "when the caller closes its connection during prefill" )
    {
        answer->gone = true;
        fleet.engines.run_for( 3s );
        CHECK( fleet.engines.memory_held() == 0 );
    }
    SECTION( "when one of its engines dies, and the request is retried" )
    {
        fleet.engines.kill( "engine-1" );
        fleet.engines.revive( "engine-1" );
        fleet.engines.run_for( 5min );
        CHECK( answer->is_complete() );
        CHECK( fleet.engines.memory_held() == 0 );
    }
    SECTION( "by its time to live when the instance has died" )
    {
        auto const orphan = ports::reservation_request{
            core::reservation_id( "of the dead" ),
            { core::instance_id( "dead" ), core::incarnation( 1 ) },
            core::token_count( 10 ),
            10s };
        REQUIRE( fleet.engines.model( "engine-0" )
                     .reserve( orphan, fleet.time.now() ) );
        fleet.engines.run_for( 20min );
        CHECK( fleet.engines.memory_held() == 0 );
    }
}

TEST_CASE( "a refused group is reported as not run and holds no memory",
           "[spans]" )
{
    auto fleet = test_fleet( 4, small_engine() );
    auto const blocker = ports::reservation_request{
        core::reservation_id( "block" ),
        { core::instance_id( "other" ), core::incarnation( 1 ) },
        core::token_count( 90'000 ),
        1h };
    for ( auto const* const id : { "engine-0", "engine-1", "engine-2" } )
        REQUIRE(
            fleet.engines.model( id ).reserve( blocker, fleet.time.now() ) );
    auto profile = patient_profile();
    profile.time_base = 20s;
    profile.time_per_1k_tokens = 0ms;
    auto const answer = fleet.send( 250'000, profile );
    fleet.engines.run_for( 30s );
    REQUIRE( answer->end() );
    CHECK( answer->end()->status == answer_status::not_run );
    CHECK( answer->end()->reason == "no-memory" );
    CHECK( fleet.engines.memory_held() == 270'000 );
}

TEST_CASE( "a target that starts leaving finishes the spans placed on it",
           "[spans][routing]" )
{
    auto fleet = test_fleet( 4, small_engine() );
    auto const prompt = make_prompt( 250'000 );
    auto const answer = fleet.send_text( prompt, patient_profile() );
    fleet.engines.run_for( 300ms );
    REQUIRE( fleet.engines.memory_held() > 200'000 );
    for ( auto const& each : fleet.instances.front()->targets.all() )
        each->set_phase( routing::target_phase::leaving, fleet.time.now() );
    fleet.engines.run_for( 5min );
    CHECK( answer->is_complete() );
    CHECK( answer->text() == expected_answer( prompt, 32 ) );
}

TEST_CASE( "groups of one request use distinct reservation ids", "[spans]" )
{
    // A late release of the first group must not free memory of the second.
    auto fleet = scripted_fleet( 4, 100'000 );
    fleet.engines.holds_fills = true;
    fleet.send( 250'000, patient_profile() );
    auto const first = fleet.engines.reserved;
    REQUIRE_FALSE( first.empty() );
    for ( auto const& each : std::exchange( fleet.engines.fills, {} ) )
        each( core::error{ core::error_code::failed, "scripted" } );
    auto const second = fleet.engines.reserved;
    REQUIRE_FALSE( second.empty() );
    for ( auto const& each : first )
        CHECK_FALSE( second.contains( each ) );
}
