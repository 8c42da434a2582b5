#ifndef POLLENSTREAM_ROUTING_RESERVED_SHARE_HPP
#define POLLENSTREAM_ROUTING_RESERVED_SHARE_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/size_class.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// Shares of the targets that are reserved for shorter prompts. They follow the
/// tokens of each size class among recent dispatches, and decay to zero when no
/// shorter prompts arrive. Each instance counts only its own dispatches, but
/// ranks the targets in the same order (`target::rank`), so that the shares of
/// all instances cover the same targets.
class reserved_share
{
public:
    /// Counts one dispatched prompt.
    auto note( std::int64_t prompt_tokens, core::instant now ) -> void;

    /// Share of the targets, by ascending rank, that prompts of `prompt_class`
    /// should not use; 0 for small prompts.
    [[nodiscard]] auto reserved_from( size_class prompt_class,
                                      core::instant now ) const -> double;

private:
    struct decaying_sum
    {
        std::atomic<double> tokens{ 0 }; ///< as of `at_us`
        std::atomic<std::int64_t> at_us{ 0 };

        auto add( double amount, core::instant now ) -> void;
        [[nodiscard]] auto value( core::instant now ) const -> double;
    };

    std::array<decaying_sum, size_class_count> tokens_;
};

}

#endif
