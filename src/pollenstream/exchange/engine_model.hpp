#ifndef POLLENSTREAM_EXCHANGE_ENGINE_MODEL_HPP
#define POLLENSTREAM_EXCHANGE_ENGINE_MODEL_HPP

#include <pollenstream/exchange/routes.hpp>

#include <cstdint>

namespace pollenstream::exchange
{

/// Milliseconds that one engine takes for the prefill of a whole prompt: a
/// constant time per token, plus attention over all preceding tokens, which
/// grows with the square of the prompt's length.
auto prefill_ms( engine_speed const& speed, std::int64_t prompt_tokens )
    -> double;

/// Milliseconds of one pass that decodes for `decoding` requests and prefills
/// nothing; `context_tokens` is the sum of their contexts.
auto decode_pass_ms( engine_speed const& speed,
                     std::int64_t decoding,
                     std::int64_t context_tokens ) -> double;

/// Tokens of KV memory that a request occupies when its answer is complete.
auto memory_need( std::int64_t prompt_tokens, std::int64_t output_tokens )
    -> std::int64_t;

}

#endif
