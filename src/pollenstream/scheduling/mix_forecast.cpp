#include <pollenstream/scheduling/mix_forecast.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstream::scheduling
{

namespace
{

using namespace std::chrono_literals;

/// Share of an engine's time that prefill may take. Decode passes take the
/// rest; with more prefill, prompts queue longer than their prefill takes.
constexpr auto max_prefill_share = 0.7;
/// Time of observation before the forecast is used: the time constant with
/// which it follows a rise.
constexpr auto min_observation = core::duration( 1s );
/// Demand below this share of an engine counts as none. An exponentially
/// decaying average never becomes zero, so that one engine would be kept for
/// long prompts that ended hours ago.
constexpr auto negligible_engines = 0.01;

/// Rate from which engines are kept for a long prompt that may arrive. It is
/// what one long prompt contributes after ten seconds, the longest time between
/// two waves: exp(-10/3)/3.
constexpr auto min_long_per_second = 0.012;

/// Engines that are kept busy by a prefill of `prefill` seconds per second.
auto engines_for( double prefill ) -> std::size_t
{
    auto const engines = prefill / max_prefill_share;
    return engines < negligible_engines
               ? 0
               : static_cast<std::size_t>( std::ceil( engines ) );
}

}

auto mix_forecast::kind_of_prompt::at( core::instant now ) const
    -> work_forecast
{
    return { requests.per_second( now ), prefill_seconds.per_second( now ) };
}

/// Long prompts arrive singly, and each takes several engines at once: beside
/// those that are busy on average, the engines of one more prompt are needed.
auto mix_forecast::service_mix::engines_for_long( core::instant now ) const
    -> std::size_t
{
    auto const expected = long_prompts.at( now );
    auto const prefill = expected.prefill_seconds_per_second;
    auto engines = engines_for( prefill );
    if ( expected.requests_per_second < min_long_per_second )
        return engines;
    auto const parts = prefill / expected.requests_per_second /
                       core::seconds_of( settings.long_part );
    return std::max( engines,
                     static_cast<std::size_t>( std::ceil( prefill + parts ) ) );
}

auto mix_forecast::configure( settings_by_service const& settings ) -> void
{
    std::erase_if( services_,
                   [&settings]( auto const& entry )
                   {
                       return !settings.contains( entry.first );
                   } );
    for ( auto const& [service, chosen] : settings )
        services_[service].settings = chosen;
}

auto mix_forecast::tracks( core::service_id const& service ) const -> bool
{
    return services_.contains( service );
}

auto mix_forecast::note_prompt( core::service_id const& service,
                                core::token_count tokens,
                                core::duration prefill,
                                core::instant now ) -> void
{
    auto const found = services_.find( service );
    if ( found == services_.end() )
        return;
    auto& mix = found->second;
    if ( !mix.first_prompt_at )
        mix.first_prompt_at = now;
    auto& kind = tokens <= mix.settings.longest_short ? mix.short_prompts
                                                      : mix.long_prompts;
    kind.requests.note( 1, now );
    kind.prefill_seconds.note( core::seconds_of( prefill ), now );
}

auto mix_forecast::short_prompts( core::service_id const& service,
                                  core::instant now ) const -> work_forecast
{
    auto const found = services_.find( service );
    return found == services_.end() ? work_forecast{}
                                    : found->second.short_prompts.at( now );
}

auto mix_forecast::long_prompts( core::service_id const& service,
                                 core::instant now ) const -> work_forecast
{
    auto const found = services_.find( service );
    return found == services_.end() ? work_forecast{}
                                    : found->second.long_prompts.at( now );
}

auto mix_forecast::engines_for_short( core::service_id const& service,
                                      engine_counts const& engines,
                                      core::instant now ) const
    -> std::optional<std::size_t>
{
    auto const found = services_.find( service );
    if ( found == services_.end() )
        return std::nullopt;
    auto const& mix = found->second;
    if ( !mix.first_prompt_at || now - *mix.first_prompt_at < min_observation )
        return std::nullopt;
    auto const for_long =
        std::max( mix.engines_for_long( now ), engines.prefilling_long );
    if ( for_long >= engines.accepting )
        return std::nullopt;
    auto const needed =
        engines_for( mix.short_prompts.at( now ).prefill_seconds_per_second );
    return std::clamp( needed, engines.accepting - for_long,
                       engines.accepting );
}

}
