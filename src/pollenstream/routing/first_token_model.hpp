#ifndef POLLENSTREAM_ROUTING_FIRST_TOKEN_MODEL_HPP
#define POLLENSTREAM_ROUTING_FIRST_TOKEN_MODEL_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/target.hpp>

#include <cstdint>

namespace pollenstream::routing
{

/// What a prediction is made for.
struct prefill_demand
{
    profiles::priority order{ profiles::priority::normal };
    std::int64_t uncached_tokens{ 0 };
    std::int64_t memory_tokens{ 0 };
};

/// Seconds until the first token of `demand` at `candidate`: the tokens that
/// are read before it, its own, the rest of the batch step under way, and a
/// wait for memory where there is too little.
auto predict_first_token( target const& candidate,
                          prefill_demand const& demand,
                          core::instant now ) -> double;

/// Seconds for `tokens` of output after the first token.
auto predict_output( target const& candidate,
                     std::int64_t tokens,
                     core::instant now ) -> double;

}

#endif
