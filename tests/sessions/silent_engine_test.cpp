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
    auto speaks = std::size_t{ 0 };

    SECTION( "the new one cannot be made" )
    {
        s.stream( 1 ).lose(
            GENERATE( error_code::unreachable, error_code::not_found,
                      error_code::refused, error_code::connection_lost ) );
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
        speaks = 1;
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
    s.stream( speaks ).write( 1 );
    s.stream( speaks ).write( 2 );
    s.stream( speaks ).complete( 3 );
    CHECK( s.answer->is_complete() );
    CHECK( s.counted_work() == 0 );
    CHECK( s.engines.all.size() == 2 );
}
