#ifndef POLLENSTREAM_METRICS_DISTRIBUTION_HPP
#define POLLENSTREAM_METRICS_DISTRIBUTION_HPP

#include <cstdint>
#include <memory>

namespace pollenstream::metrics
{

/// What a distribution says of itself; all but `count` in the unit of the
/// samples.
struct distribution_summary
{
    std::uint64_t count{ 0 };
    double mean{ 0 };
    double p50{ 0 };
    double p95{ 0 };
    double p99{ 0 };
    double most{ 0 };
};

/// Estimates of a distribution in constant memory, from any thread.
class distribution
{
public:
    distribution();
    ~distribution();
    distribution( distribution const& ) = delete;
    auto operator=( distribution const& ) -> distribution& = delete;

    auto add( double sample ) -> void;
    [[nodiscard]] auto summary() const -> distribution_summary;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

}

#endif
