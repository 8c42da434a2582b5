#ifndef POLLENSTREAM_EXCHANGE_SPLIT_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_SPLIT_QUEUE_HPP

#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <set>

namespace pollenstream::exchange
{

/// Wide prompts that wait for engines, by the time at which each has to have
/// its first event. A prompt is wide where several engines read it at once.
///
/// Used by one thread.
class split_queue
{
public:
    auto enter( core::instant due ) -> void;
    auto leave( core::instant due ) -> void;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return dues_.size();
    }
    /// Those that wait besides one that is due at `except`.
    [[nodiscard]] auto others( core::instant except ) const -> std::size_t;
    /// True where one that is still in time waits besides one that is due at
    /// `except`.
    [[nodiscard]] auto others_in_time( core::instant except,
                                       core::instant now ) const -> bool;

private:
    std::multiset<core::instant> dues_;
};

}

#endif
