#ifndef POLLENSTREAM_EXCHANGE_ENGINE_MODEL_HPP
#define POLLENSTREAM_EXCHANGE_ENGINE_MODEL_HPP

#include <pollenstream/exchange/routes.hpp>

#include <cstdint>

namespace pollenstream::exchange
{

/// Milliseconds for which one engine is busy when it alone reads a prompt.
/// Time per token is constant and each token is compared with all before it,
/// so that long prompts cost by the square.
auto prefill_ms( engine_speed const& speed, std::int64_t prompt_tokens )
    -> double;

/// Milliseconds of one pass in which `decoding` requests write and nothing is
/// read; `context_tokens` is the sum of their contexts.
auto write_pass_ms( engine_speed const& speed,
                    std::int64_t decoding,
                    std::int64_t context_tokens ) -> double;

/// Tokens of KV memory that a request takes up at its end.
auto memory_need( std::int64_t prompt_tokens, std::int64_t output_tokens )
    -> std::int64_t;

}

#endif
