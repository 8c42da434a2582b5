#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/mix_watch.hpp>
#include <pollenstream/exchange/short_prompt_chooser.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto states_of( recorded_events const& log ) -> std::vector<std::string>
{
    auto states = std::vector<std::string>{};
    for ( auto const& e : log.all )
        states.push_back( std::get<exchange::state_change>( e ).now );
    return states;
}

}

// Guards against a log line for each variation of the forecast.
TEST_CASE( "spreading and packing are recorded once a second at most",
           "[mix_forecast]" )
{
    auto const configuration = sample_configuration( 1 );
    auto const model = core::service_id( "model" );
    auto loads = exchange::load_table{};
    auto log = recorded_events{};
    auto watch = exchange::mix_watch( loads, log );
    loads.mix().configure( exchange::spread_services( *configuration ) );
    loads.put( make_target( "m1", "model" ) );
    loads.put( make_target( "m2", "model" ) );
    auto now = core::instant( 100s );
    auto const note = [&]( std::int64_t tokens, core::duration prefill )
    {
        loads.mix().note_prompt( model, core::token_count( tokens ), prefill,
                                 now );
    };
    note( 5'000, 20ms );
    watch.update( *configuration, now );
    CHECK( log.all.empty() );
    now += 2s;
    watch.update( *configuration, now );
    watch.update( *configuration, now );
    CHECK( states_of( log ) ==
           std::vector<std::string>{ "spreads_short_prompts" } );
    // A long prompt that needs both engines.
    note( 300'000, 5s );
    watch.update( *configuration, now );
    CHECK( log.all.size() == 1 );
    now += 1s;
    watch.update( *configuration, now );
    CHECK( states_of( log ) ==
           std::vector<std::string>{ "spreads_short_prompts",
                                     "packs_short_prompts" } );
}
