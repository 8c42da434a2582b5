#ifndef POLLENSTREAM_ROUTING_CLEAR_SHARE_HPP
#define POLLENSTREAM_ROUTING_CLEAR_SHARE_HPP

#include <pollenstream/core/units.hpp>

#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// The share of targets that long prompts leave alone. It follows the part of
/// recent prompt tokens that came in short prompts, and goes to nothing when
/// no short prompts come. Each instance follows the mix that it sees itself.
class clear_share
{
public:
    /// Prompts of more tokens than this are long.
    static constexpr auto long_prompt = std::int64_t{ 32'768 };

    static constexpr auto is_long( std::int64_t prompt_tokens ) -> bool
    {
        return prompt_tokens > long_prompt;
    }

    /// Counts one dispatched prompt.
    auto note( std::int64_t prompt_tokens, core::instant now ) -> void;

    /// Share of targets to keep clear, from 0 to `most`.
    [[nodiscard]] auto share( core::instant now ) const -> double;

private:
    struct decaying_sum
    {
        std::atomic<double> tokens{ 0 };
        std::atomic<std::int64_t> at_us{ 0 };

        auto add( double amount, core::instant now ) -> void;
        [[nodiscard]] auto value( core::instant now ) const -> double;
    };

    decaying_sum short_tokens_;
    decaying_sum long_tokens_;
};

}

#endif
