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

/// Classes of prompt length that the measures are broken down by.
enum class length_class
{
    up_to_1k,
    up_to_10k,
    up_to_100k,
    above_100k,
};

inline constexpr std::size_t length_class_count = 4;

/// The class of a prompt of `tokens`.
auto class_of( core::token_count tokens ) -> length_class;
/// Name in dumps, such as `up_to_1k`.
auto name_of( length_class which ) -> std::string_view;

/// Counts under names that are found at run time, such as refusal reasons.
/// The number of names is bounded by the program's own reasons.
class named_counters
{
public:
    auto add( std::string const& name ) -> void;
    [[nodiscard]] auto values() const -> std::map<std::string, std::uint64_t>;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

/// What one instance measures of the requests that it serves.
class request_metrics
{
public:
    /// Seconds from admission to the first token, by length of prompt.
    auto add_first_token( core::token_count prompt, core::duration took )
        -> void;
    [[nodiscard]] auto first_token( length_class which ) const
        -> distribution const&;

    distribution queue_time; ///< seconds from admission to the first send
    distribution token_gap;  ///< seconds between tokens of one answer
    distribution prediction; ///< measured over predicted first token time
    /// First token time of a short prompt over the time that reading it takes
    /// at an idle engine.
    distribution short_slowdown;
    core::counter started;
    core::counter completed;
    core::counter failed;
    core::counter retries;
    core::counter moves; ///< small prompts sent on beside a slow target
    core::counter parks; ///< waits for memory at any target
    core::counter resumes;
    core::counter cancels;
    core::counter callers_gone;
    core::counter stray_events; ///< late, crossed or repeated engine events
    core::counter reservations_made;
    core::counter reservations_released;
    named_counters refusals; ///< by reason

private:
    std::array<distribution, length_class_count> first_token_;
};

}

#endif
