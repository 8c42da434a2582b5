#include <pollenstream/routing/first_token_model.hpp>

#include <algorithm>

namespace pollenstream::routing
{

namespace
{

/// A new request waits for half of the step under way on average.
constexpr auto part_of_step_under_way = 0.5;
/// Waiting for memory costs more than its tokens: it comes free when a stream
/// ends, and nobody knows when.
constexpr auto seconds_without_memory = 2.0;

/// Length of the steps that a request meets. Prompt of lower priority fills up
/// each step, so that a short prompt pays for a long one beside it.
auto met_step_seconds( target const& candidate, core::instant now ) -> double
{
    auto const reading = candidate.backlog( now ) > 0;
    auto const step = candidate.step_seconds();
    return reading ? std::max( step, candidate.full_step_seconds() ) : step;
}

}

auto predict_first_token( target const& candidate,
                          prefill_demand const& demand,
                          core::instant now ) -> double
{
    auto const rate = std::max( 1.0, candidate.prefill_rate() );
    auto const before = candidate.backlog_before( demand.order, now );
    auto const reading =
        static_cast<double>( before + demand.uncached_tokens ) / rate;
    auto const step = met_step_seconds( candidate, now );
    auto const stepping =
        part_of_step_under_way * step + std::max( step, reading );
    auto const lacking = demand.memory_tokens - candidate.free_memory();
    if ( lacking <= 0 )
        return stepping;
    return stepping + seconds_without_memory +
           static_cast<double>( lacking ) / rate;
}

auto predict_output( target const& candidate,
                     std::int64_t tokens,
                     core::instant now ) -> double
{
    auto const step =
        std::max( met_step_seconds( candidate, now ),
                  1.0 / std::max( 1.0, candidate.decode_rate() ) );
    return static_cast<double>( tokens ) * step;
}

}
