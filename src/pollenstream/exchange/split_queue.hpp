#ifndef POLLENSTREAM_EXCHANGE_SPLIT_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_SPLIT_QUEUE_HPP

#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <set>

namespace pollenstream::exchange
{

/// The due times of the split prompts that wait for engines: the times by which
/// their first events have to come. The prefill of a split prompt is divided
/// among several engines.
///
/// Not thread-safe.
class split_queue
{
public:
    auto enter( core::instant due ) -> void;
    auto leave( core::instant due ) -> void;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return dues_.size();
    }
    /// Number of prompts that wait, without one that is due at `except`.
    [[nodiscard]] auto others( core::instant except ) const -> std::size_t;
    /// True if a prompt that is not late at `now` waits, without counting one
    /// that is due at `except`.
    [[nodiscard]] auto others_in_time( core::instant except,
                                       core::instant now ) const -> bool;

private:
    std::multiset<core::instant> dues_;
};

}

#endif
