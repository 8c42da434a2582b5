#ifndef POLLENSTREAM_OBSERVATION_HISTOGRAM_HPP
#define POLLENSTREAM_OBSERVATION_HISTOGRAM_HPP

#include <pollenstream/core/units.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace pollenstream::observation
{

/// Counts of spans of time in fixed buckets; used by one thread.
class histogram
{
public:
    auto add( core::duration span ) -> void;

    /// The lines of the text format for monitoring systems: cumulative
    /// buckets, sum and count. `labels` is empty or `a="b",`.
    [[nodiscard]] auto text( std::string const& name,
                             std::string const& labels ) const -> std::string;

private:
    /// Upper ends in seconds; they include the objectives of the first
    /// deployments (0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3).
    static constexpr auto ends = std::array{
        0.01, 0.03, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 5.0, 10.0, 15.0 };

    std::array<std::uint64_t, ends.size() + 1> counts_{};
    double sum_{ 0 };
    std::uint64_t count_{ 0 };
};

}

#endif
