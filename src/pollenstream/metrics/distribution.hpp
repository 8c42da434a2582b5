#ifndef POLLENSTREAM_METRICS_DISTRIBUTION_HPP
#define POLLENSTREAM_METRICS_DISTRIBUTION_HPP

#include <cstdint>
#include <memory>

namespace pollenstream::metrics
{

/// Summary statistics of a distribution. All members but `count` are in the
/// unit of the samples.
struct distribution_summary
{
    std::uint64_t count{ 0 };
    double mean{ 0 };
    double p50{ 0 };
    double p95{ 0 };
    double p99{ 0 };
    double max{ 0 };
};

/// Estimates mean, maximum and quantiles of samples in constant memory.
/// Thread-safe.
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
