#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

// How soon a prompt can be read at best, which decides whether it is too late
// for it, and when its caller may come back.

namespace pollenstream::exchange
{

namespace
{

/// Share of the engines that one prompt can count on: the others read for those
/// that are there already.
constexpr auto countable_share = 0.7;

/// Milliseconds in which the prompt is read by as many of `engines` engines as
/// it can count on.
auto shortest_ms( placement_demand const& demand,
                  engine_speed const& speed,
                  std::size_t engines ) -> double
{
    auto const countable = static_cast<std::size_t>(
        static_cast<double>( engines ) * countable_share );
    auto const parts = std::clamp( countable, std::size_t{ 1 }, max_helpers );
    return prefill_ms( speed, demand.prompt_tokens ) /
           static_cast<double>( parts );
}

}

auto placement::shortest_prefill( placement_demand const& demand,
                                  service_settings const& service ) const
    -> core::duration
{
    auto const engines = load_table_.of_service( demand.service ).size();
    return core::duration_of( shortest_ms( demand, *service.engine, engines ) /
                              1'000 );
}

auto placement::is_too_late( placement_demand const& demand,
                             service_settings const& service ) const -> bool
{
    return demand.waited + shortest_prefill( demand, service ) >
           demand.latency_objective;
}

}
