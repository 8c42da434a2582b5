#include <pollenstream/metrics/distribution.hpp>

// <sstream> comes first: the quantile header of Boost.Accumulators uses string
// streams without including them.
// clang-format off
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <mutex>
// clang-format on

namespace pollenstream::metrics
{

namespace acc = boost::accumulators;

namespace
{

constexpr auto quantiles = std::array{ 0.5, 0.95, 0.99 };
/// The quantile estimator is undefined for fewer samples.
constexpr auto min_quantile_samples = std::uint64_t{ 8 };

using accumulator_set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square_quantile>>;

}

struct distribution::accumulators
{
    std::mutex mutex;
    accumulator_set set{ acc::extended_p_square_probabilities = quantiles };
};

distribution::distribution() : accumulators_( std::make_unique<accumulators>() )
{
}

distribution::~distribution() = default;

auto distribution::add( double sample ) -> void
{
    auto const lock = std::scoped_lock( accumulators_->mutex );
    accumulators_->set( sample );
}

auto distribution::summary() const -> distribution_summary
{
    auto const lock = std::scoped_lock( accumulators_->mutex );
    auto const& set = accumulators_->set;
    auto out = distribution_summary{};
    out.count = acc::count( set );
    if ( out.count == 0 )
        return out;
    out.mean = acc::mean( set );
    out.max = acc::max( set );
    if ( out.count < min_quantile_samples )
    {
        out.p50 = out.mean;
        out.p95 = out.p99 = out.max;
        return out;
    }
    out.p50 = acc::quantile( set, acc::quantile_probability = quantiles[0] );
    out.p95 = acc::quantile( set, acc::quantile_probability = quantiles[1] );
    out.p99 = acc::quantile( set, acc::quantile_probability = quantiles[2] );
    return out;
}

}
