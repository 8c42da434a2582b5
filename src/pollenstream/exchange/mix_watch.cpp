#include <pollenstream/exchange/mix_watch.hpp>
#include <pollenstream/exchange/short_prompt_chooser.hpp>

#include <chrono>
#include <string>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Minimum time between two recorded changes of a service.
constexpr auto min_record_interval = core::duration( 1s );

}

auto mix_watch::update( route_configuration const& configuration,
                        core::instant now ) -> void
{
    for ( auto const& [service, settings] : configuration.services )
    {
        if ( !load_table_.mix().tracks( service ) )
            continue;
        auto const engines = engines_for_short( load_table_, service, now );
        auto const is_spread = engines.has_value();
        auto& recorded = recorded_[service];
        if ( is_spread == recorded.spread ||
             now - recorded.recorded_at < min_record_interval )
            continue;
        recorded = { is_spread, now };
        log_.record( state_change{
            "service",
            service.str(),
            is_spread ? "spreads_short_prompts" : "packs_short_prompts",
            is_spread ? "forecast, " + std::to_string( *engines ) + " engines"
                      : "forecast",
            {} } );
    }
}

}
