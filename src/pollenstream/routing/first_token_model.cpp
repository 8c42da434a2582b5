#include <pollenstream/routing/first_token_model.hpp>

#include <algorithm>

namespace pollenstream::routing
{

namespace
{

/// Steps that a new request waits for: half of the one under way on average,
/// and its own.
constexpr auto steps_before_first_token = 1.5;

}

auto predict_first_token( target const& candidate,
                          prefill_demand const& demand,
                          core::instant now ) -> double
{
    auto const rate = std::max( 1.0, candidate.prefill_rate() );
    auto const before = candidate.backlog_before( demand.order, now );
    auto const reading =
        static_cast<double>( before + demand.uncached_tokens ) / rate;
    auto const stepping = steps_before_first_token * candidate.step_seconds();
    auto const lacking = demand.memory_tokens - candidate.free_memory();
    // Memory comes free as streams end; they give it back about as fast as
    // prompts are read, which is when it was taken.
    auto const waiting =
        static_cast<double>( std::max( std::int64_t{ 0 }, lacking ) ) / rate;
    return reading + stepping + waiting;
}

auto predict_output( target const& candidate, std::int64_t tokens ) -> double
{
    return static_cast<double>( tokens ) /
           std::max( 0.1, candidate.decode_rate() );
}

}
