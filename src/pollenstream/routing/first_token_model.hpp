#ifndef POLLENSTREAM_ROUTING_FIRST_TOKEN_MODEL_HPP
#define POLLENSTREAM_ROUTING_FIRST_TOKEN_MODEL_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/target.hpp>

#include <cstdint>

namespace pollenstream::routing
{

/// The part of a request that decides when its first token comes.
struct prefill_demand
{
    profiles::priority priority{ profiles::priority::normal };
    std::int64_t uncached_tokens{ 0 }; ///< prompt tokens to prefill
    std::int64_t memory_tokens{ 0 };   ///< KV memory that must be free
};

/// Seconds until the first token of `demand` at `candidate`: the rest of the
/// current batch step, the prefill of the backlog before it and of its own
/// tokens, and a wait for memory where too little is free.
auto predict_first_token_seconds( target const& candidate,
                                  prefill_demand const& demand,
                                  core::instant now ) -> double;

/// Seconds to decode `tokens` of output after the first token.
auto predict_decode_seconds( target const& candidate,
                             std::int64_t tokens,
                             core::instant now ) -> double;

}

#endif
