#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

// The shortest possible prefill of a prompt. It decides whether the prompt can
// still be in time, and when a refused caller should retry.

namespace pollenstream::exchange
{

namespace
{

/// Share of the engines that one prompt can expect to get. The others are busy
/// with the prefill of prompts placed before.
constexpr auto available_engine_share = 0.7;

/// Milliseconds that the prefill takes on as many of `engines` engines as the
/// prompt can expect to get.
auto shortest_prefill_ms( placement_demand const& demand,
                          engine_speed const& speed,
                          std::size_t engines ) -> double
{
    auto const available = static_cast<std::size_t>(
        static_cast<double>( engines ) * available_engine_share );
    auto const parts = std::clamp( available, std::size_t{ 1 }, max_helpers );
    return prefill_ms( speed, demand.prompt_tokens ) /
           static_cast<double>( parts );
}

}

auto placement::shortest_prefill( placement_demand const& demand,
                                  service_settings const& service ) const
    -> core::duration
{
    auto const& all = load_table_.of_service( demand.service );
    auto const drained = std::count_if( all.begin(), all.end(),
                                        []( auto const& t )
                                        {
                                            return t->data_centre_drained;
                                        } );
    auto const engines = all.size() - static_cast<std::size_t>( drained );
    return core::duration_of(
        shortest_prefill_ms( demand, *service.engine, engines ) / 1'000 );
}

auto placement::is_too_late( placement_demand const& demand,
                             service_settings const& service ) const -> bool
{
    return demand.waited + shortest_prefill( demand, service ) >
           demand.latency_objective;
}

}
