#ifndef POLLENSTREAM_OBSERVATION_HISTOGRAM_HPP
#define POLLENSTREAM_OBSERVATION_HISTOGRAM_HPP

#include <pollenstream/core/units.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace pollenstream::observation
{

/// Histogram of durations with fixed buckets. Not thread-safe.
class histogram
{
public:
    auto add( core::duration elapsed ) -> void;

    /// The histogram in the Prometheus text format: cumulative buckets, sum
    /// and count. `labels` is empty or has the form `a="b",`.
    [[nodiscard]] auto text( std::string const& name,
                             std::string const& labels ) const -> std::string;

private:
    /// Upper bounds in seconds. They include the latency objectives of the
    /// first deployments (0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5 and 3).
    static constexpr auto upper_bounds = std::array{
        0.01, 0.03, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 5.0, 10.0, 15.0 };

    std::array<std::uint64_t, upper_bounds.size() + 1> counts_{};
    double sum_{ 0 };
    std::uint64_t count_{ 0 };
};

}

#endif
