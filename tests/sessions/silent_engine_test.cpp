#include "support/scripted_fleet.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;
using core::error_code;
using ports::answer_status;

namespace
{

/// After `silence_timeout` a silent stream is resumed over a new connection;
/// after `hedge_timeout` another engine is tried as well.
constexpr auto silence_timeout = core::duration( 6'500ms );
constexpr auto hedge_timeout = core::duration( 13s );
/// A small prompt without a first token after this long is stalled.
constexpr auto stall_timeout = core::duration( 800ms );
constexpr auto small_prompt = 1'000;
constexpr auto medium_prompt = 10'000;
/// Needs a span group: more than half of one engine's memory.
constexpr auto long_prompt = 250'000;

/// An answer of three tokens whose engine goes silent after the first.
struct started_answer : scripted_fleet
{
    explicit started_answer(
        int count,
        profiles::profile const& profile = patient_profile(),
        std::int64_t prompt = medium_prompt,
        std::int64_t memory = 400'000 )
        : scripted_fleet( count, memory )
    {
        send( prompt, profile );
        REQUIRE( engines.all.size() == 1 );
        stream( 0 ).write( 0 );
    }

    /// The newest connection to `engine`.
    auto last_connection( std::string const& engine ) -> scripted_stream&
    {
        auto found = std::shared_ptr<scripted_stream>{};
        for ( auto const& each : engines.all )
        {
            if ( each->engine == engine )
                found = each;
        }
        REQUIRE( found );
        return *found;
    }

    /// The connections of one attempt, oldest first.
    auto connections_of( std::int64_t number )
        -> std::vector<std::shared_ptr<scripted_stream>>
    {
        auto found = std::vector<std::shared_ptr<scripted_stream>>{};
        for ( auto const& each : engines.all )
        {
            if ( each->request.attempt == core::attempt_number( number ) )
                found.push_back( each );
        }
        return found;
    }

    /// The first engine continues and completes the answer.
    auto complete_at_first_engine() -> void
    {
        auto& connection = last_connection( stream( 0 ).engine );
        connection.write( 1 );
        connection.write( 2 );
        connection.complete( 3 );
    }

    /// The text of an answer with its first token from `first`, the others from
    /// `rest`.
    static auto expected_text( std::string const& first,
                               std::string const& rest ) -> std::string
    {
        return first + "0 " + rest + "1 " + rest + "2 ";
    }
};

}

TEST_CASE( "a silent connection stays open until the new one delivers a token",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 1 );
    fleet.time.advance( silence_timeout );
    REQUIRE( fleet.engines.all.size() == 2 );
    REQUIRE( fleet.stream( 1 ).resumed );
    CHECK_FALSE( fleet.stream( 0 ).detached );
    auto is_first_open = true;

    SECTION( "the new one fails" )
    {
        fleet.stream( 1 ).lose( GENERATE( error_code::unreachable,
                                          error_code::refused,
                                          error_code::connection_lost ) );
    }
    SECTION( "the old one delivers first" )
    {
        fleet.stream( 0 ).write( 1 );
        CHECK( fleet.stream( 1 ).detached );
        fleet.stream( 0 ).write( 2 );
        fleet.stream( 0 ).complete( 3 );
        CHECK( fleet.answer->is_complete() );
        return;
    }
    SECTION( "the old one ends" )
    {
        fleet.stream( 0 ).lose( error_code::connection_lost );
        is_first_open = false;
    }
    SECTION( "the new one delivers first" )
    {
        fleet.stream( 1 ).write( 1 );
        CHECK( fleet.stream( 0 ).detached );
        CHECK_FALSE( fleet.stream( 0 ).cancelled );
        fleet.stream( 1 ).write( 2 );
        fleet.stream( 1 ).complete( 3 );
        CHECK( fleet.answer->is_complete() );
        return;
    }
    REQUIRE_FALSE( fleet.answer->end() );
    fleet.time.advance( silence_timeout );
    REQUIRE_FALSE( fleet.answer->end() );
    auto& open_stream =
        is_first_open ? fleet.stream( 0 ) : fleet.last_connection( "a" );
    open_stream.write( 1 );
    open_stream.write( 2 );
    open_stream.complete( 3 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
    CHECK( fleet.engines.open_attempts() == 0 );
}

TEST_CASE( "an engine that no longer knows a started request has ended it",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 1 );
    fleet.time.advance( silence_timeout );
    REQUIRE( fleet.engines.all.size() == 2 );
    fleet.stream( 1 ).lose( error_code::not_found );
    CHECK( fleet.stream( 0 ).detached );
    REQUIRE( fleet.connections_of( 2 ).size() == 1 );
    auto& second = *fleet.connections_of( 2 ).front();
    CHECK( second.request.from_position == 1 );
    second.write( 1 );
    second.complete( 2 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "an engine may not know a request before its first token",
           "[sessions][silence]" )
{
    auto fleet = scripted_fleet( 1 );
    fleet.send( medium_prompt, patient_profile() );
    fleet.time.advance( 2 * silence_timeout );
    REQUIRE( fleet.engines.all.size() == 2 );
    fleet.stream( 1 ).lose( error_code::not_found );
    REQUIRE( fleet.stream( 0 ).is_open() );
    fleet.stream( 0 ).write( 0 );
    fleet.stream( 0 ).complete( 1 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a started answer is not ended by its engine's silence",
           "[sessions][silence]" )
{
    auto const obstacle = GENERATE( as<std::string>(), "no retry", "no budget",
                                    "no other engine", "no memory" );
    INFO( obstacle );
    auto profile = patient_profile();
    if ( obstacle == "no retry" )
        profile.retries = 0;
    auto fleet =
        started_answer( obstacle == "no other engine" ? 1 : 2, profile );
    auto const silent_engine = fleet.stream( 0 ).engine;
    if ( obstacle == "no budget" )
        fleet.exhaust_retry_budget();
    if ( obstacle == "no memory" )
        fleet.report_memory( silent_engine == "a" ? "b" : "a", 400'000 );
    fleet.time.advance( hedge_timeout );
    CHECK_FALSE( fleet.answer->end() );
    CHECK( fleet.engines.open_attempts() == 1 );
    SECTION( "and the engine continues" )
    {
        fleet.time.advance( 1min );
        fleet.complete_at_first_engine();
        CHECK( fleet.answer->is_complete() );
        CHECK( fleet.answer->text() ==
               fleet.expected_text( silent_engine, silent_engine ) );
    }
    SECTION( "and its deadline passes" )
    {
        fleet.time.advance( 11min );
        REQUIRE( fleet.answer->end() );
        CHECK( fleet.answer->end()->reason == "deadline" );
        CHECK( fleet.last_connection( silent_engine ).cancelled );
    }
    CHECK( fleet.counted_open_requests() == 0 );
    CHECK( fleet.engines.open_attempts() == 0 );
}

TEST_CASE( "a silent engine without alternative is resumed repeatedly",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 1 );
    fleet.time.advance( 31s );
    // Each new connection replaces the previous one; the first stays open.
    CHECK( fleet.engines.all.size() == 6 );
    CHECK( fleet.stream( 0 ).is_open() );
    CHECK_FALSE( fleet.stream( 4 ).is_open() );
    CHECK( fleet.metrics.resumes.value() == 5 );
    fleet.stream( 5 ).write( 1 );
    CHECK_FALSE( fleet.stream( 0 ).is_open() );
    fleet.stream( 5 ).write( 2 );
    fleet.stream( 5 ).complete( 3 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "of a silent engine and its hedge, the first to deliver "
           "continues",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 2 );
    fleet.time.advance( hedge_timeout );
    REQUIRE( fleet.connections_of( 2 ).size() == 1 );
    auto& second = *fleet.connections_of( 2 ).front();
    auto const silent_engine = fleet.stream( 0 ).engine;
    CHECK( second.engine != silent_engine );
    CHECK( second.request.from_position == 1 );
    CHECK( second.request.attempt == core::attempt_number( 2 ) );
    CHECK_FALSE( fleet.last_connection( silent_engine ).cancelled );
    CHECK( fleet.engines.open_attempts() == 2 );
    CHECK( fleet.counted_open_requests() == 2 );

    SECTION( "the silent engine" )
    {
        fleet.complete_at_first_engine();
        CHECK( second.cancelled );
        CHECK( fleet.answer->text() ==
               fleet.expected_text( silent_engine, silent_engine ) );
    }
    SECTION( "the hedge" )
    {
        second.write( 1 );
        CHECK( fleet.last_connection( silent_engine ).cancelled );
        fleet.last_connection( silent_engine ).write( 1 );
        second.write( 2 );
        second.complete( 3 );
        CHECK( fleet.answer->text() ==
               fleet.expected_text( silent_engine, second.engine ) );
    }
    SECTION( "neither before the deadline" )
    {
        fleet.time.advance( 11min );
        CHECK( fleet.answer->end()->reason == "deadline" );
        CHECK( fleet.last_connection( silent_engine ).cancelled );
        CHECK( fleet.last_connection( second.engine ).cancelled );
        CHECK( fleet.counted_open_requests() == 0 );
        return;
    }
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
    CHECK( fleet.engines.open_attempts() == 0 );
}

TEST_CASE( "the silent engine may continue if the hedge fails",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.retries = 1;
    auto fleet = started_answer( 2, profile );
    fleet.time.advance( hedge_timeout );
    REQUIRE( fleet.connections_of( 2 ).size() == 1 );
    auto const silent_engine = fleet.stream( 0 ).engine;
    fleet.connections_of( 2 ).front()->lose( GENERATE(
        error_code::unreachable, error_code::refused, error_code::failed,
        error_code::not_found, error_code::connection_lost ) );
    if ( fleet.connections_of( 2 ).size() == 2 )
        fleet.connections_of( 2 ).back()->lose( error_code::unreachable );
    fleet.time.advance( 1min );
    REQUIRE_FALSE( fleet.answer->end() );
    fleet.complete_at_first_engine();
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.answer->text() ==
           fleet.expected_text( silent_engine, silent_engine ) );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "the hedge continues if the silent engine fails",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 2 );
    fleet.time.advance( hedge_timeout );
    REQUIRE( fleet.connections_of( 2 ).size() == 1 );
    for ( auto const& each : fleet.connections_of( 1 ) )
        each->lose( error_code::connection_lost );
    CHECK( fleet.counted_open_requests() == 1 );
    auto& second = *fleet.connections_of( 2 ).front();
    second.write( 1 );
    second.write( 2 );
    second.complete( 3 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "at most one hedge is open beside a silent engine",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 4 );
    auto const silent_engine = fleet.stream( 0 ).engine;
    for ( auto elapsed = 0s; elapsed < 2min; elapsed += 1s )
    {
        fleet.time.advance( 1s );
        CHECK( fleet.engines.open_attempts() <= 2 );
    }
    // Three retries, each at another engine.
    CHECK( fleet.metrics.retries.value() == 3 );
    CHECK_FALSE( fleet.answer->end() );
    fleet.complete_at_first_engine();
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.answer->text() ==
           fleet.expected_text( silent_engine, silent_engine ) );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a small prompt that already decodes at another engine does not "
           "move",
           "[sessions][silence]" )
{
    auto fleet = started_answer( 3, patient_profile(), small_prompt );
    fleet.stream( 0 ).lose( error_code::failed );
    REQUIRE( fleet.connections_of( 2 ).size() == 1 );
    auto& second = *fleet.connections_of( 2 ).front();
    second.write( 1 );
    // Longer than its prefill takes, so the backlog is only what is still
    // counted as prefill.
    fleet.time.advance( 200ms );
    CHECK( fleet.target( second.engine )->backlog( fleet.time.now() ) == 0 );
    fleet.time.advance( stall_timeout );
    CHECK( fleet.metrics.moves.value() == 0 );
    CHECK( fleet.engines.all.size() == 2 );
    REQUIRE( second.is_open() );
    second.write( 2 );
    second.complete( 3 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled small prompt stays at its engine while no other has "
           "capacity",
           "[sessions][silence]" )
{
    auto engines = GENERATE( 1, 2 );
    auto fleet = scripted_fleet( engines );
    auto profile = patient_profile();
    profile.retries = 0;
    fleet.send( small_prompt, profile );
    REQUIRE( fleet.engines.all.size() == 1 );
    for ( auto const* const id : { "a", "b" } )
    {
        if ( fleet.target( id ) )
            fleet.report_memory( id, fleet.memory_tokens );
    }
    fleet.time.advance( 3 * stall_timeout );
    CHECK( fleet.engines.all.size() == 1 );
    CHECK_FALSE( fleet.stream( 0 ).cancelled );
    CHECK( fleet.metrics.moves.value() == 0 );

    SECTION( "and the engine answers" )
    {
        fleet.stream( 0 ).write( 0 );
        fleet.stream( 0 ).complete( 1 );
        CHECK( fleet.answer->is_complete() );
    }
    SECTION( "and moves once another has capacity" )
    {
        if ( engines == 1 )
            return;
        auto const other = fleet.stream( 0 ).engine == "a" ? "b" : "a";
        fleet.report_memory( other, 0 );
        fleet.time.advance( stall_timeout );
        REQUIRE( fleet.engines.all.size() == 2 );
        CHECK( fleet.stream( 1 ).engine == other );
        CHECK( fleet.metrics.moves.value() == 1 );
        fleet.stream( 1 ).write( 0 );
        CHECK( fleet.stream( 0 ).cancelled );
        fleet.stream( 1 ).complete( 1 );
        CHECK( fleet.answer->is_complete() );
    }
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled small prompt is answered by the engine that delivers "
           "first",
           "[sessions][silence]" )
{
    auto fleet = scripted_fleet( 2 );
    auto profile = patient_profile();
    profile.retries = 0;
    fleet.send( small_prompt, profile );
    fleet.time.advance( stall_timeout );
    REQUIRE( fleet.engines.all.size() == 2 );
    CHECK_FALSE( fleet.stream( 0 ).cancelled );

    SECTION( "the other fails" )
    {
        fleet.stream( 1 ).lose(
            GENERATE( error_code::unreachable, error_code::refused ) );
    }
    SECTION( "the other is slower" ) {}
    REQUIRE_FALSE( fleet.answer->end() );
    fleet.stream( 0 ).write( 0 );
    CHECK_FALSE( fleet.stream( 1 ).is_open() );
    fleet.stream( 0 ).complete( 1 );
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled prompt that both engines refuse is reported as not run",
           "[sessions][silence]" )
{
    auto fleet = scripted_fleet( 2 );
    auto profile = patient_profile();
    profile.retries = 0;
    fleet.send( small_prompt, profile );
    fleet.time.advance( stall_timeout );
    REQUIRE( fleet.engines.all.size() == 2 );

    SECTION( "the hedge first" )
    {
        fleet.stream( 1 ).lose( error_code::unreachable );
        fleet.stream( 0 ).lose( error_code::refused );
    }
    SECTION( "the stalled one first" )
    {
        fleet.stream( 0 ).lose( error_code::refused );
        fleet.stream( 1 ).lose( error_code::unreachable );
    }
    REQUIRE( fleet.answer->end() );
    CHECK( fleet.answer->end()->status == answer_status::not_run );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a span group is not ended by the silence of its decode "
           "target",
           "[sessions][silence][spans]" )
{
    constexpr auto engine_memory = 100'000;
    auto profile = patient_profile();
    auto engines = 4;
    SECTION( "with no retry left" )
    {
        profile.retries = 0;
    }
    SECTION( "with no memory for another group" ) {}
    auto fleet = started_answer( engines, profile, long_prompt, engine_memory );
    auto const first_group = fleet.engines.reserved;
    REQUIRE( first_group.size() > 1 );
    if ( profile.retries > 0 )
        fleet.engines.refuses_memory = true;
    fleet.time.advance( hedge_timeout );
    REQUIRE_FALSE( fleet.answer->end() );
    CHECK( fleet.engines.reserved == first_group );
    fleet.time.advance( 1min );
    fleet.complete_at_first_engine();
    CHECK( fleet.answer->is_complete() );
    fleet.time.advance( 1min );
    CHECK( fleet.engines.reserved.empty() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "of a silent group and its hedge, the first to deliver "
           "continues",
           "[sessions][silence][spans]" )
{
    constexpr auto engine_memory = 100'000;
    auto fleet =
        started_answer( 8, patient_profile(), long_prompt, engine_memory );
    auto const first_group = fleet.engines.reserved;
    auto const silent_engine = fleet.stream( 0 ).engine;
    fleet.engines.holds_fills = true;
    fleet.time.advance( hedge_timeout );
    REQUIRE( fleet.engines.reserved.size() > first_group.size() );
    REQUIRE_FALSE( fleet.engines.fills.empty() );
    auto const complete_fills = [&]( core::result<void> const& status )
    {
        for ( auto const& each : std::vector( fleet.engines.fills ) )
            each( status );
        fleet.engines.fills.clear();
    };

    SECTION( "the silent group, during the prefill of the hedge" )
    {
        fleet.complete_at_first_engine();
        complete_fills( core::success() );
        CHECK( fleet.connections_of( 2 ).empty() );
    }
    SECTION( "the silent group, as the prefill of the hedge fails" )
    {
        complete_fills(
            core::error{ error_code::connection_lost, "scripted" } );
        CHECK_FALSE( fleet.answer->end() );
        CHECK( fleet.engines.reserved == first_group );
        fleet.complete_at_first_engine();
    }
    SECTION( "the silent group, after the prefill of the hedge" )
    {
        complete_fills( core::success() );
        REQUIRE( fleet.connections_of( 2 ).size() == 1 );
        CHECK( fleet.connections_of( 2 ).front()->engine != silent_engine );
        fleet.complete_at_first_engine();
        CHECK( fleet.connections_of( 2 ).front()->cancelled );
    }
    SECTION( "the hedge" )
    {
        complete_fills( core::success() );
        REQUIRE( fleet.connections_of( 2 ).size() == 1 );
        CHECK( fleet.engines.open_attempts() == 2 );
        auto& second = *fleet.connections_of( 2 ).front();
        second.write( 1 );
        CHECK( fleet.connections_of( 1 ).back()->cancelled );
        for ( auto const& each : first_group )
            CHECK_FALSE( fleet.engines.reserved.contains( each ) );
        second.write( 2 );
        second.complete( 3 );
    }
    SECTION( "the hedge, after the silent group has failed" )
    {
        for ( auto const& each : std::vector( fleet.engines.all ) )
            each->lose( error_code::connection_lost );
        CHECK_FALSE( fleet.answer->end() );
        complete_fills( core::success() );
        REQUIRE( fleet.connections_of( 2 ).size() == 1 );
        auto& second = *fleet.connections_of( 2 ).front();
        second.write( 1 );
        second.write( 2 );
        second.complete( 3 );
    }
    CHECK( fleet.answer->is_complete() );
    CHECK( fleet.engines.reserved.empty() );
    CHECK( fleet.counted_open_requests() == 0 );
}

TEST_CASE( "a started answer waits for memory until its deadline",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.time_base = 2s;
    profile.time_per_1k_tokens = 0ms;
    profile.max_output = core::token_count( 100 );
    auto fleet = started_answer( 2, profile );
    auto const first = fleet.stream( 0 ).engine;
    auto const other = first == "a" ? "b" : "a";
    fleet.report_memory( other, fleet.memory_tokens );
    fleet.stream( 0 ).lose( error_code::failed );
    REQUIRE( fleet.engines.all.size() == 1 );
    // The time left is shorter than the predicted time for the rest of the
    // answer.
    fleet.time.advance( 1'900ms );
    REQUIRE_FALSE( fleet.answer->end() );

    SECTION( "which becomes free" )
    {
        fleet.report_memory( other, 0 );
        fleet.time.advance( 50ms );
        REQUIRE( fleet.engines.all.size() == 2 );
        fleet.stream( 1 ).write( 1 );
        fleet.stream( 1 ).complete( 2 );
        CHECK( fleet.answer->is_complete() );
    }
    SECTION( "which does not become free" )
    {
        fleet.time.advance( 200ms );
        CHECK( fleet.answer->end()->reason == "deadline" );
    }
}

TEST_CASE( "a request that an engine has started is not reported as not run",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.retries = 0;
    auto fleet = started_answer( 1, profile );
    fleet.stream( 0 ).lose( error_code::connection_lost );
    REQUIRE( fleet.engines.all.size() == 2 );
    REQUIRE( fleet.stream( 1 ).resumed );
    fleet.stream( 1 ).lose(
        GENERATE( error_code::unreachable, error_code::refused ) );
    REQUIRE( fleet.answer->end() );
    CHECK( fleet.answer->end()->status == answer_status::failed );
    CHECK( fleet.counted_open_requests() == 0 );
}
