#ifndef POLLENSTREAM_METRICS_REQUEST_METRICS_HPP
#define POLLENSTREAM_METRICS_REQUEST_METRICS_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/metrics/distribution.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pollenstream::metrics
{

/// Classes of prompt length by which metrics are broken down.
enum class length_class
{
    up_to_1k,
    up_to_10k,
    up_to_100k,
    above_100k,
};

inline constexpr std::size_t length_class_count = 4;

/// The class of a prompt with `tokens` tokens.
auto class_of( core::token_count tokens ) -> length_class;
/// Name in state dumps, such as `up_to_1k`.
auto name_of( length_class which ) -> std::string_view;

/// Counters whose names are known only at run time, such as refusal reasons.
/// All names come from the program itself, which bounds their number.
/// Thread-safe.
class named_counters
{
public:
    auto add( std::string const& name ) -> void;
    [[nodiscard]] auto values() const -> std::map<std::string, std::uint64_t>;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

/// Metrics of the requests that one instance serves.
class request_metrics
{
public:
    /// Records the time from admission to the first token.
    auto add_first_token( core::token_count prompt, core::duration elapsed )
        -> void;
    [[nodiscard]] auto first_token( length_class which ) const
        -> distribution const&;

    distribution queue_time; ///< seconds from admission to the first send
    distribution token_gap;  ///< seconds between tokens of an answer
    distribution prediction; ///< actual / predicted time to first token
    /// Time to first token of a short prompt, divided by the time that an
    /// idle engine takes for its prefill and the first step.
    distribution short_slowdown;
    core::counter started;
    core::counter completed;
    core::counter failed;
    core::counter retries;
    core::counter moves; ///< small prompts also sent past a stalled target
    core::counter memory_waits; ///< waits until any target has enough memory
    core::counter resumes;
    core::counter cancels;
    core::counter callers_gone;
    core::counter
        stray_events; ///< late, misdirected or duplicate engine events
    core::counter reservations_made;
    core::counter reservations_released;
    named_counters refusals; ///< by reason

private:
    std::array<distribution, length_class_count> first_token_;
};

}

#endif
