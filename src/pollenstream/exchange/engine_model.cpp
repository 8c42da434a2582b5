#include <pollenstream/exchange/engine_model.hpp>

namespace pollenstream::exchange
{

namespace
{

/// Engines allocate KV memory in blocks of this many tokens. One extra block is
/// counted per request, for the last one that is only partly filled.
constexpr auto memory_block_tokens = std::int64_t{ 16 };
constexpr auto tokens_per_k = 1'000.0;
constexpr auto pairs_per_m = 1'000'000.0;

}

auto prefill_ms( engine_speed const& speed, std::int64_t prompt_tokens )
    -> double
{
    auto const tokens = static_cast<double>( prompt_tokens );
    auto const pairs = tokens * tokens / 2;
    return tokens / speed.prefill_tokens_per_ms +
           pairs / pairs_per_m * speed.prefill_ms_per_m_pairs;
}

auto decode_pass_ms( engine_speed const& speed,
                     std::int64_t decoding,
                     std::int64_t context_tokens ) -> double
{
    auto const step =
        speed.step_ms +
        speed.step_ms_per_request * static_cast<double>( decoding ) +
        speed.step_ms_per_k_context * static_cast<double>( context_tokens ) /
            tokens_per_k;
    return step * static_cast<double>( speed.steps_per_pass );
}

auto memory_need( std::int64_t prompt_tokens, std::int64_t output_tokens )
    -> std::int64_t
{
    return prompt_tokens + output_tokens + memory_block_tokens;
}

}
