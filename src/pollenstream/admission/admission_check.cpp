#include <pollenstream/admission/admission_check.hpp>

#include <algorithm>

namespace pollenstream::admission
{

namespace
{

using namespace std::chrono_literals;

/// Maximum share of the remaining time that a predicted duration may take.
constexpr auto max_time_share = 0.95;

}

auto capacity_of( routing::target_list const& targets ) -> service_capacity
{
    auto capacity = service_capacity{};
    for ( auto const& each : targets )
    {
        if ( each->phase() != routing::target_phase::alive )
            continue;
        ++capacity.alive;
        capacity.memory_tokens += each->total_memory();
        capacity.prefill_rate += each->prefill_rate();
    }
    return capacity;
}

auto check_capacity( service_capacity const& capacity,
                     admission_demand const& demand )
    -> std::optional<admission_refusal>
{
    if ( capacity.alive == 0 )
        return admission_refusal{ "no-target",
                                  "no target of the service is alive",
                                  retry_without_target };
    auto const needed = demand.prompt + demand.output;
    if ( needed.count() > capacity.memory_tokens )
        return admission_refusal{
            "too-long", "the prompt does not fit into all targets together",
            std::nullopt };
    auto const prefill_seconds = static_cast<double>( demand.prompt.count() ) /
                                 std::max( 1.0, capacity.prefill_rate );
    return check_time( core::duration_of( prefill_seconds ), demand.time_left );
}

auto check_time( core::duration predicted_finish, core::duration time_left )
    -> std::optional<admission_refusal>
{
    auto const allowed_seconds = core::seconds_of( time_left ) * max_time_share;
    auto const excess_seconds =
        core::seconds_of( predicted_finish ) - allowed_seconds;
    if ( excess_seconds <= 0 )
        return std::nullopt;
    return admission_refusal{ "too-late",
                              "the answer would come after the deadline",
                              core::duration_of( excess_seconds ) + 1s };
}

}
