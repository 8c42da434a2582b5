#include <pollenstream/scheduling/mix_forecast.hpp>

#include <catch2/catch.hpp>

using namespace pollenstream;
using namespace std::chrono_literals;

namespace
{

auto const model = core::service_id( "model" );

/// A forecast in simulated time for a service with prompts of 5,000 tokens
/// (20 ms) and of 100,000 tokens (500 ms).
struct forecast_fixture
{
    forecast_fixture()
    {
        mix.configure( { { model, { core::token_count( 20'000 ), 180ms } } } );
    }

    /// Sends `shorts` and `longs` prompts per second for `time`.
    auto send( int shorts, int longs, core::duration time ) -> void
    {
        for ( auto t = core::duration( 0 ); t < time; t += 1ms )
        {
            now += 1ms;
            ++ticks;
            if ( shorts > 0 && ticks % ( 1'000 / shorts ) == 0 )
                mix.note_prompt( model, core::token_count( 5'000 ), 20ms, now );
            if ( longs > 0 && ticks % ( 1'000 / longs ) == 0 )
                mix.note_prompt( model, core::token_count( 100'000 ), 500ms,
                                 now );
        }
    }

    [[nodiscard]] auto engines( std::size_t accepting = 20,
                                std::size_t prefilling_long = 0 ) const
        -> std::optional<std::size_t>
    {
        return mix.engines_for_short( model, { accepting, prefilling_long },
                                      now );
    }

    scheduling::mix_forecast mix;
    core::instant now{ 100s };
    int ticks{ 0 };
};

}

TEST_CASE( "short prompts alone get all engines", "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 0, 2s );
    CHECK( f.engines() == 20 );
}

TEST_CASE( "long prompts keep the engines that their prefill takes, and a "
           "reserve for decode passes",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 10, 8s );
    // Ten long prompts a second prefill for five seconds per second. 5 / 0.7
    // are 8 engines; the forecast varies by one prompt.
    auto const for_long = 20 - f.engines().value();
    CHECK( for_long >= 8 );
    CHECK( for_long <= 9 );
    CHECK( f.mix.long_prompts( model, f.now ).prefill_seconds_per_second ==
           Approx( 5 ).epsilon( 0.2 ) );
    CHECK( f.mix.short_prompts( model, f.now ).requests_per_second ==
           Approx( 100 ).epsilon( 0.1 ) );
}

TEST_CASE( "half a second into a wave of long prompts, they keep the engines "
           "that their prefill takes",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 0, 4s );
    f.send( 100, 10, 500ms );
    CHECK( 20 - f.engines().value() >= 5 );
}

TEST_CASE( "half a second after a wave of long prompts, short ones get more "
           "engines, a third within three seconds, and all after a while",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 0, 10, 4s );
    auto const in_wave = f.engines().value();
    f.send( 100, 0, 500ms );
    CHECK( f.engines().value() > in_wave );
    f.send( 100, 0, 2500ms );
    CHECK( 20 - f.engines().value() <= ( 20 - in_wave ) * 2 / 3 );
    f.send( 100, 0, 20s );
    CHECK( f.engines() == 20 );
}

TEST_CASE( "waves that alternate keep engines for the next long prompts",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    for ( auto wave = 0; wave < 3; ++wave )
    {
        f.send( 20, 10, 4s );
        f.send( 100, 1, 4s );
        CHECK( 20 - f.engines().value() >= 2 );
    }
}

TEST_CASE( "engines that prefill long prompts now are left to them",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 0, 2s );
    CHECK( f.engines( 20, 6 ) == 14 );
}

TEST_CASE( "long prompts that need all engines end the spreading",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 10, 4s );
    CHECK_FALSE( f.engines( 7 ) );
    CHECK_FALSE( f.engines( 0 ) );
}

TEST_CASE( "short prompts get the engines that their own prefill needs",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 200, 10, 4s );
    // 200 short prompts prefill for four seconds per second: 6 engines.
    CHECK( f.engines( 10 ).value() >= 6 );
}

TEST_CASE( "nothing is spread in the first second, or for other services",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 0, 900ms );
    CHECK_FALSE( f.engines() );
    f.send( 100, 0, 200ms );
    CHECK( f.engines() );
    CHECK_FALSE( f.mix.engines_for_short( core::service_id( "other" ),
                                          { 20, 0 }, f.now ) );
    f.mix.configure( {} );
    CHECK_FALSE( f.engines() );
}

TEST_CASE( "a new configuration keeps the forecast of a tracked service",
           "[mix_forecast]" )
{
    auto f = forecast_fixture{};
    f.send( 100, 0, 2s );
    f.mix.configure( { { model, { core::token_count( 30'000 ), 180ms } } } );
    CHECK( f.engines() == 20 );
}
