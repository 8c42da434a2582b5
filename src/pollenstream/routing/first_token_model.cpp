#include <pollenstream/routing/first_token_model.hpp>

#include <algorithm>

namespace pollenstream::routing
{

namespace
{

/// A new request waits for half of the current batch step on average.
constexpr auto mean_remaining_step = 0.5;
/// Added where memory is short, beside the prefill time of the missing tokens:
/// memory becomes free only when a stream ends, at an unknown time.
constexpr auto memory_wait_seconds = 2.0;

/// Expected length of the batch steps that a request takes part in. The engine
/// fills each step up with prefill of lower priority, so that a long prompt
/// also slows down the short ones in the same batch.
auto expected_step_seconds( target const& candidate, core::instant now )
    -> double
{
    auto const is_prefilling = candidate.backlog( now ) > 0;
    auto const step = candidate.step_seconds();
    return is_prefilling ? std::max( step, candidate.full_step_seconds() )
                         : step;
}

}

auto predict_first_token_seconds( target const& candidate,
                                  prefill_demand const& demand,
                                  core::instant now ) -> double
{
    auto const rate = std::max( 1.0, candidate.prefill_rate() );
    auto const backlog = candidate.backlog_before( demand.priority, now );
    auto const prefill =
        static_cast<double>( backlog + demand.uncached_tokens ) / rate;
    auto const step = expected_step_seconds( candidate, now );
    auto const without_memory_wait =
        mean_remaining_step * step + std::max( step, prefill );
    auto const missing_memory = demand.memory_tokens - candidate.free_memory();
    if ( missing_memory <= 0 )
        return without_memory_wait;
    return without_memory_wait + memory_wait_seconds +
           static_cast<double>( missing_memory ) / rate;
}

auto predict_decode_seconds( target const& candidate,
                             std::int64_t tokens,
                             core::instant now ) -> double
{
    auto const step =
        std::max( expected_step_seconds( candidate, now ),
                  1.0 / std::max( 1.0, candidate.decode_rate() ) );
    return static_cast<double>( tokens ) * step;
}

}
