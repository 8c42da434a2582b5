#ifndef POLLENSTREAM_SCHEDULING_MIX_FORECAST_HPP
#define POLLENSTREAM_SCHEDULING_MIX_FORECAST_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/scheduling/rate_forecast.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace pollenstream::scheduling
{

/// The prompts of one kind that are expected in the next second.
struct work_forecast
{
    double requests_per_second{ 0 };
    /// Prefill time per second; 2 keeps two engines busy.
    double prefill_seconds_per_second{ 0 };
};

/// Which engines a service has at the moment.
struct engine_counts
{
    std::size_t accepting{ 0 }; ///< that accept work
    /// Of these, engines that prefill long prompts now.
    std::size_t prefilling_long{ 0 };
};

/// How the prompts of a service are divided.
struct mix_settings
{
    core::token_count longest_short; ///< longer prompts are long
    /// Prefill time of the parts into which a long prompt is divided.
    core::duration long_part{ 0 };
};

/// Forecasts for each service how many short and long prompts come, and over
/// how many engines short ones may be spread without taking those that long
/// ones need. Services without a configured boundary between short and long
/// are not tracked.
class mix_forecast
{
public:
    using settings_by_service =
        std::unordered_map<core::service_id, mix_settings>;

    /// Tracks exactly the services of `settings`. A service that was tracked
    /// before keeps its forecast.
    auto configure( settings_by_service const& settings ) -> void;
    [[nodiscard]] auto tracks( core::service_id const& service ) const -> bool;

    /// A prompt with a prefill of `prefill` over all its engines was sent.
    auto note_prompt( core::service_id const& service,
                      core::token_count tokens,
                      core::duration prefill,
                      core::instant now ) -> void;

    [[nodiscard]] auto short_prompts( core::service_id const& service,
                                      core::instant now ) const
        -> work_forecast;
    [[nodiscard]] auto long_prompts( core::service_id const& service,
                                     core::instant now ) const -> work_forecast;

    /// Number of engines over which short prompts should be spread. Empty if
    /// long prompts are expected to need all engines, if the service is not
    /// tracked, or in the first second after its first prompt, when too little
    /// is known.
    [[nodiscard]] auto engines_for_short( core::service_id const& service,
                                          engine_counts const& engines,
                                          core::instant now ) const
        -> std::optional<std::size_t>;

private:
    struct kind_of_prompt
    {
        rate_forecast requests;
        rate_forecast prefill_seconds;

        [[nodiscard]] auto at( core::instant now ) const -> work_forecast;
    };
    struct service_mix
    {
        /// Engines that long prompts are expected to need in the next second.
        [[nodiscard]] auto engines_for_long( core::instant now ) const
            -> std::size_t;

        mix_settings settings;
        std::optional<core::instant> first_prompt_at;
        kind_of_prompt short_prompts;
        kind_of_prompt long_prompts;
    };

    std::unordered_map<core::service_id, service_mix> services_;
};

}

#endif
