#include "support/scripted_fleet.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;
using core::error_code;
using ports::answer_status;

namespace
{

/// A stream that is silent for so long is read over a new connection; for so
/// long again, it is looked for elsewhere.
constexpr auto one_silence = core::duration( 6'500ms );
constexpr auto two_silences = core::duration( 13s );
/// A small prompt without a first token after so long is stalled.
constexpr auto stalled = core::duration( 800ms );
constexpr auto small_prompt = 1'000;
constexpr auto medium_prompt = 10'000;
/// More than half of one engine's memory: it is read by several.
constexpr auto long_prompt = 250'000;

/// An answer of three tokens whose engine falls silent after the first.
struct begun_answer : scripted_fleet
{
    explicit begun_answer( int count,
                           profiles::profile const& profile = patient_profile(),
                           std::int64_t prompt = medium_prompt,
                           std::int64_t memory = 400'000 )
        : scripted_fleet( count, memory )
    {
        send( prompt, profile );
        REQUIRE( engines.all.size() == 1 );
        stream( 0 ).write( 0 );
    }

    /// The connection that the silent engine may still write on.
    auto last_of( std::string const& engine ) -> scripted_stream&
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

    /// The connections of one attempt, in order.
    auto attempt( std::int64_t number )
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

    /// The first engine goes on and ends the answer.
    auto first_goes_on() -> void
    {
        auto& from = last_of( stream( 0 ).engine );
        from.write( 1 );
        from.write( 2 );
        from.complete( 3 );
    }

    /// What the caller has where all of it came from `first` and `rest`.
    static auto text_of( std::string const& first, std::string const& rest )
        -> std::string
    {
        return first + "0 " + rest + "1 " + rest + "2 ";
    }
};

}

TEST_CASE( "a silent connection is kept until the new one speaks",
           "[sessions][silence]" )
{
    auto s = begun_answer( 1 );
    s.time.advance( one_silence );
    REQUIRE( s.engines.all.size() == 2 );
    REQUIRE( s.stream( 1 ).resumed );
    CHECK_FALSE( s.stream( 0 ).detached );
    auto is_kept = true;

    SECTION( "the new one cannot be made" )
    {
        s.stream( 1 ).lose( GENERATE( error_code::unreachable,
                                      error_code::refused,
                                      error_code::connection_lost ) );
    }
    SECTION( "the old one speaks first" )
    {
        s.stream( 0 ).write( 1 );
        CHECK( s.stream( 1 ).detached );
        s.stream( 0 ).write( 2 );
        s.stream( 0 ).complete( 3 );
        CHECK( s.answer->is_complete() );
        return;
    }
    SECTION( "the old one ends" )
    {
        s.stream( 0 ).lose( error_code::connection_lost );
        is_kept = false;
    }
    SECTION( "the new one speaks" )
    {
        s.stream( 1 ).write( 1 );
        CHECK( s.stream( 0 ).detached );
        CHECK_FALSE( s.stream( 0 ).cancelled );
        s.stream( 1 ).write( 2 );
        s.stream( 1 ).complete( 3 );
        CHECK( s.answer->is_complete() );
        return;
    }
    REQUIRE_FALSE( s.answer->end() );
    s.time.advance( one_silence );
    REQUIRE_FALSE( s.answer->end() );
    auto& speaks = is_kept ? s.stream( 0 ) : s.last_of( "a" );
    speaks.write( 1 );
    speaks.write( 2 );
    speaks.complete( 3 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
    CHECK( s.engines.open_attempts() == 0 );
}

TEST_CASE( "an engine that knows nothing of what it had begun has ended it",
           "[sessions][silence]" )
{
    auto s = begun_answer( 1 );
    s.time.advance( one_silence );
    REQUIRE( s.engines.all.size() == 2 );
    s.stream( 1 ).lose( error_code::not_found );
    CHECK( s.stream( 0 ).detached );
    REQUIRE( s.attempt( 2 ).size() == 1 );
    auto& second = *s.attempt( 2 ).front();
    CHECK( second.request.from_position == 1 );
    second.write( 1 );
    second.complete( 2 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "an engine that has not begun may not know of a request yet",
           "[sessions][silence]" )
{
    auto s = scripted_fleet( 1 );
    s.send( medium_prompt, patient_profile() );
    s.time.advance( 2 * one_silence );
    REQUIRE( s.engines.all.size() == 2 );
    s.stream( 1 ).lose( error_code::not_found );
    REQUIRE( s.stream( 0 ).is_open() );
    s.stream( 0 ).write( 0 );
    s.stream( 0 ).complete( 1 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "an answer that has begun is not ended by its engine's silence",
           "[sessions][silence]" )
{
    auto const lack = GENERATE( as<std::string>(), "no repeat", "no budget",
                                "no other engine", "no memory" );
    INFO( lack );
    auto profile = patient_profile();
    if ( lack == "no repeat" )
        profile.retries = 0;
    auto s = begun_answer( lack == "no other engine" ? 1 : 2, profile );
    auto const silent = s.stream( 0 ).engine;
    if ( lack == "no budget" )
        s.exhaust_retry_budget();
    if ( lack == "no memory" )
        s.report_memory( silent == "a" ? "b" : "a", 400'000 );
    s.time.advance( two_silences );
    CHECK_FALSE( s.answer->end() );
    CHECK( s.engines.open_attempts() == 1 );
    SECTION( "and it goes on" )
    {
        s.time.advance( 1min );
        s.first_goes_on();
        CHECK( s.answer->is_complete() );
        CHECK( s.answer->text() == s.text_of( silent, silent ) );
    }
    SECTION( "and its time is over" )
    {
        s.time.advance( 11min );
        REQUIRE( s.answer->end() );
        CHECK( s.answer->end()->reason == "deadline" );
        CHECK( s.last_of( silent ).cancelled );
    }
    CHECK( s.counted_open_requests() == 0 );
    CHECK( s.engines.open_attempts() == 0 );
}

TEST_CASE( "a silent engine with nothing beside it is asked again and again",
           "[sessions][silence]" )
{
    auto s = begun_answer( 1 );
    s.time.advance( 31s );
    // Each new one takes the place of the last; the first is kept.
    CHECK( s.engines.all.size() == 6 );
    CHECK( s.stream( 0 ).is_open() );
    CHECK_FALSE( s.stream( 4 ).is_open() );
    CHECK( s.metrics.resumes.value() == 5 );
    s.stream( 5 ).write( 1 );
    CHECK_FALSE( s.stream( 0 ).is_open() );
    s.stream( 5 ).write( 2 );
    s.stream( 5 ).complete( 3 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "of a silent engine and the one found instead, the first to speak "
           "goes on",
           "[sessions][silence]" )
{
    auto s = begun_answer( 2 );
    s.time.advance( two_silences );
    REQUIRE( s.attempt( 2 ).size() == 1 );
    auto& second = *s.attempt( 2 ).front();
    auto const silent = s.stream( 0 ).engine;
    CHECK( second.engine != silent );
    CHECK( second.request.from_position == 1 );
    CHECK( second.request.attempt == core::attempt_number( 2 ) );
    CHECK_FALSE( s.last_of( silent ).cancelled );
    CHECK( s.engines.open_attempts() == 2 );
    CHECK( s.counted_open_requests() == 2 );

    SECTION( "the silent one" )
    {
        s.first_goes_on();
        CHECK( second.cancelled );
        CHECK( s.answer->text() == s.text_of( silent, silent ) );
    }
    SECTION( "the other one" )
    {
        second.write( 1 );
        CHECK( s.last_of( silent ).cancelled );
        s.last_of( silent ).write( 1 );
        second.write( 2 );
        second.complete( 3 );
        CHECK( s.answer->text() == s.text_of( silent, second.engine ) );
    }
    SECTION( "neither before the time is over" )
    {
        s.time.advance( 11min );
        CHECK( s.answer->end()->reason == "deadline" );
        CHECK( s.last_of( silent ).cancelled );
        CHECK( s.last_of( second.engine ).cancelled );
        CHECK( s.counted_open_requests() == 0 );
        return;
    }
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
    CHECK( s.engines.open_attempts() == 0 );
}

TEST_CASE( "where the engine found instead fails, the silent one may go on",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.retries = 1;
    auto s = begun_answer( 2, profile );
    s.time.advance( two_silences );
    REQUIRE( s.attempt( 2 ).size() == 1 );
    auto const silent = s.stream( 0 ).engine;
    s.attempt( 2 ).front()->lose( GENERATE(
        error_code::unreachable, error_code::refused, error_code::failed,
        error_code::not_found, error_code::connection_lost ) );
    if ( s.attempt( 2 ).size() == 2 )
        s.attempt( 2 ).back()->lose( error_code::unreachable );
    s.time.advance( 1min );
    REQUIRE_FALSE( s.answer->end() );
    s.first_goes_on();
    CHECK( s.answer->is_complete() );
    CHECK( s.answer->text() == s.text_of( silent, silent ) );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a silent engine that breaks after all leaves the one found instead",
           "[sessions][silence]" )
{
    auto s = begun_answer( 2 );
    s.time.advance( two_silences );
    REQUIRE( s.attempt( 2 ).size() == 1 );
    for ( auto const& each : s.attempt( 1 ) )
        each->lose( error_code::connection_lost );
    CHECK( s.counted_open_requests() == 1 );
    auto& second = *s.attempt( 2 ).front();
    second.write( 1 );
    second.write( 2 );
    second.complete( 3 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "one attempt at most is open beside a silent engine",
           "[sessions][silence]" )
{
    auto s = begun_answer( 4 );
    auto const silent = s.stream( 0 ).engine;
    for ( auto passed = 0s; passed < 2min; passed += 1s )
    {
        s.time.advance( 1s );
        CHECK( s.engines.open_attempts() <= 2 );
    }
    // Three repeats, each at another engine.
    CHECK( s.metrics.retries.value() == 3 );
    CHECK_FALSE( s.answer->end() );
    s.first_goes_on();
    CHECK( s.answer->is_complete() );
    CHECK( s.answer->text() == s.text_of( silent, silent ) );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a small prompt whose answer goes on elsewhere stays where it is "
           "written",
           "[sessions][silence]" )
{
    auto s = begun_answer( 3, patient_profile(), small_prompt );
    s.stream( 0 ).lose( error_code::failed );
    REQUIRE( s.attempt( 2 ).size() == 1 );
    auto& second = *s.attempt( 2 ).front();
    second.write( 1 );
    // Longer than reading it takes, so that only what is counted as unread is.
    s.time.advance( 200ms );
    CHECK( s.target( second.engine )->backlog( s.time.now() ) == 0 );
    s.time.advance( stalled );
    CHECK( s.metrics.moves.value() == 0 );
    CHECK( s.engines.all.size() == 2 );
    REQUIRE( second.is_open() );
    second.write( 2 );
    second.complete( 3 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled small prompt stays where it is as long as no other can "
           "take it",
           "[sessions][silence]" )
{
    auto engines = GENERATE( 1, 2 );
    auto s = scripted_fleet( engines );
    auto profile = patient_profile();
    profile.retries = 0;
    s.send( small_prompt, profile );
    REQUIRE( s.engines.all.size() == 1 );
    for ( auto const* const id : { "a", "b" } )
    {
        if ( s.target( id ) )
            s.report_memory( id, s.memory_tokens );
    }
    s.time.advance( 3 * stalled );
    CHECK( s.engines.all.size() == 1 );
    CHECK_FALSE( s.stream( 0 ).cancelled );
    CHECK( s.metrics.moves.value() == 0 );

    SECTION( "and it answers" )
    {
        s.stream( 0 ).write( 0 );
        s.stream( 0 ).complete( 1 );
        CHECK( s.answer->is_complete() );
    }
    SECTION( "and moves once another can" )
    {
        if ( engines == 1 )
            return;
        auto const other = s.stream( 0 ).engine == "a" ? "b" : "a";
        s.report_memory( other, 0 );
        s.time.advance( stalled );
        REQUIRE( s.engines.all.size() == 2 );
        CHECK( s.stream( 1 ).engine == other );
        CHECK( s.metrics.moves.value() == 1 );
        s.stream( 1 ).write( 0 );
        CHECK( s.stream( 0 ).cancelled );
        s.stream( 1 ).complete( 1 );
        CHECK( s.answer->is_complete() );
    }
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled small prompt that is sent elsewhere is answered by the "
           "first to speak",
           "[sessions][silence]" )
{
    auto s = scripted_fleet( 2 );
    auto profile = patient_profile();
    profile.retries = 0;
    s.send( small_prompt, profile );
    s.time.advance( stalled );
    REQUIRE( s.engines.all.size() == 2 );
    CHECK_FALSE( s.stream( 0 ).cancelled );

    SECTION( "the other fails" )
    {
        s.stream( 1 ).lose(
            GENERATE( error_code::unreachable, error_code::refused ) );
    }
    SECTION( "the other is slower" ) {}
    REQUIRE_FALSE( s.answer->end() );
    s.stream( 0 ).write( 0 );
    CHECK_FALSE( s.stream( 1 ).is_open() );
    s.stream( 0 ).complete( 1 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a stalled prompt that both engines refuse is told as not run",
           "[sessions][silence]" )
{
    auto s = scripted_fleet( 2 );
    auto profile = patient_profile();
    profile.retries = 0;
    s.send( small_prompt, profile );
    s.time.advance( stalled );
    REQUIRE( s.engines.all.size() == 2 );

    SECTION( "the one found instead first" )
    {
        s.stream( 1 ).lose( error_code::unreachable );
        s.stream( 0 ).lose( error_code::refused );
    }
    SECTION( "the stalled one first" )
    {
        s.stream( 0 ).lose( error_code::refused );
        s.stream( 1 ).lose( error_code::unreachable );
    }
    REQUIRE( s.answer->end() );
    CHECK( s.answer->end()->status == answer_status::not_run );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "a group of engines is not ended by the silence of the one that "
           "writes",
           "[sessions][silence][spans]" )
{
    constexpr auto engine_memory = 100'000;
    auto profile = patient_profile();
    auto engines = 4;
    SECTION( "with no repeat left" )
    {
        profile.retries = 0;
    }
    SECTION( "with no memory for another group" ) {}
    auto s = begun_answer( engines, profile, long_prompt, engine_memory );
    auto const held = s.engines.reserved;
    REQUIRE( held.size() > 1 );
    if ( profile.retries > 0 )
        s.engines.refuses_memory = true;
    s.time.advance( two_silences );
    REQUIRE_FALSE( s.answer->end() );
    CHECK( s.engines.reserved == held );
    s.time.advance( 1min );
    s.first_goes_on();
    CHECK( s.answer->is_complete() );
    s.time.advance( 1min );
    CHECK( s.engines.reserved.empty() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "of a silent group and the one found instead, the first to speak "
           "goes on",
           "[sessions][silence][spans]" )
{
    constexpr auto engine_memory = 100'000;
    auto s = begun_answer( 8, patient_profile(), long_prompt, engine_memory );
    auto const first_group = s.engines.reserved;
    auto const silent = s.stream( 0 ).engine;
    s.engines.holds_fills = true;
    s.time.advance( two_silences );
    REQUIRE( s.engines.reserved.size() > first_group.size() );
    REQUIRE_FALSE( s.engines.fills.empty() );
    auto const read_all = [&]( core::result<void> const& status )
    {
        for ( auto const& each : std::vector( s.engines.fills ) )
            each( status );
        s.engines.fills.clear();
    };

    SECTION( "the silent one, while the other reads" )
    {
        s.first_goes_on();
        read_all( core::success() );
        CHECK( s.attempt( 2 ).empty() );
    }
    SECTION( "the silent one, since the other cannot read" )
    {
        read_all( core::error{ error_code::connection_lost, "scripted" } );
        CHECK_FALSE( s.answer->end() );
        CHECK( s.engines.reserved == first_group );
        s.first_goes_on();
    }
    SECTION( "the silent one, after the other has read" )
    {
        read_all( core::success() );
        REQUIRE( s.attempt( 2 ).size() == 1 );
        CHECK( s.attempt( 2 ).front()->engine != silent );
        s.first_goes_on();
        CHECK( s.attempt( 2 ).front()->cancelled );
    }
    SECTION( "the other one" )
    {
        read_all( core::success() );
        REQUIRE( s.attempt( 2 ).size() == 1 );
        CHECK( s.engines.open_attempts() == 2 );
        auto& second = *s.attempt( 2 ).front();
        second.write( 1 );
        CHECK( s.attempt( 1 ).back()->cancelled );
        for ( auto const& each : first_group )
            CHECK_FALSE( s.engines.reserved.contains( each ) );
        second.write( 2 );
        second.complete( 3 );
    }
    SECTION( "the other one, after the silent one has broken" )
    {
        for ( auto const& each : std::vector( s.engines.all ) )
            each->lose( error_code::connection_lost );
        CHECK_FALSE( s.answer->end() );
        read_all( core::success() );
        REQUIRE( s.attempt( 2 ).size() == 1 );
        auto& second = *s.attempt( 2 ).front();
        second.write( 1 );
        second.write( 2 );
        second.complete( 3 );
    }
    CHECK( s.answer->is_complete() );
    CHECK( s.engines.reserved.empty() );
    CHECK( s.counted_open_requests() == 0 );
}

TEST_CASE( "an answer that has begun waits for memory until its time is over",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.time_base = 2s;
    profile.time_per_1k_tokens = 0ms;
    profile.max_output = core::token_count( 100 );
    auto s = begun_answer( 2, profile );
    auto const first = s.stream( 0 ).engine;
    auto const other = first == "a" ? "b" : "a";
    s.report_memory( other, s.memory_tokens );
    s.stream( 0 ).lose( error_code::failed );
    REQUIRE( s.engines.all.size() == 1 );
    // Less than the rest of the answer was predicted to take is left.
    s.time.advance( 1'900ms );
    REQUIRE_FALSE( s.answer->end() );

    SECTION( "which comes free" )
    {
        s.report_memory( other, 0 );
        s.time.advance( 50ms );
        REQUIRE( s.engines.all.size() == 2 );
        s.stream( 1 ).write( 1 );
        s.stream( 1 ).complete( 2 );
        CHECK( s.answer->is_complete() );
    }
    SECTION( "which does not" )
    {
        s.time.advance( 200ms );
        CHECK( s.answer->end()->reason == "deadline" );
    }
}

TEST_CASE( "a request that an engine has begun is not told as not run",
           "[sessions][silence]" )
{
    auto profile = patient_profile();
    profile.retries = 0;
    auto s = begun_answer( 1, profile );
    s.stream( 0 ).lose( error_code::connection_lost );
    REQUIRE( s.engines.all.size() == 2 );
    REQUIRE( s.stream( 1 ).resumed );
    s.stream( 1 ).lose(
        GENERATE( error_code::unreachable, error_code::refused ) );
    REQUIRE( s.answer->end() );
    CHECK( s.answer->end()->status == answer_status::failed );
    CHECK( s.counted_open_requests() == 0 );
}
