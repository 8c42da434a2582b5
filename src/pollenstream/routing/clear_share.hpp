#ifndef POLLENSTREAM_ROUTING_CLEAR_SHARE_HPP
#define POLLENSTREAM_ROUTING_CLEAR_SHARE_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/size_class.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// Shares of the targets that longer prompts leave alone. They follow the
/// tokens of each class in the recent mix, and go to nothing when no shorter
/// prompts come. Each instance follows the mix that it sees itself; targets
/// stand in the same order on every instance, so that the shares agree.
class clear_share
{
public:
    /// Counts one dispatched prompt.
    auto note( std::int64_t prompt_tokens, core::instant now ) -> void;

    /// Share of the targets, from the first on, that prompts of class `c`
    /// leave alone; 0 for small prompts.
    [[nodiscard]] auto kept_from( size_class c, core::instant now ) const
        -> double;

private:
    struct decaying_sum
    {
        std::atomic<double> tokens{ 0 };
        std::atomic<std::int64_t> at_us{ 0 };

        auto add( double amount, core::instant now ) -> void;
        [[nodiscard]] auto value( core::instant now ) const -> double;
    };

    std::array<decaying_sum, size_class_count> tokens_;
};

}

#endif
