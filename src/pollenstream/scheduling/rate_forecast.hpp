#ifndef POLLENSTREAM_SCHEDULING_RATE_FORECAST_HPP
#define POLLENSTREAM_SCHEDULING_RATE_FORECAST_HPP

#include <pollenstream/core/units.hpp>

namespace pollenstream::scheduling
{

/// Forecasts a rate that rises and falls in waves, from the amounts noted so
/// far. It follows a rise with a time constant of 1 s, and extrapolates it by
/// double exponential smoothing; it follows a fall with a time constant of 3 s,
/// so that the end of a wave and a gap within it look alike for a moment.
class rate_forecast
{
public:
    auto note( double amount, core::instant now ) -> void;
    /// The amount that is expected in the next second.
    [[nodiscard]] auto per_second( core::instant now ) const -> double;

private:
    /// Averages as of `updated_at`.
    struct averages
    {
        double rising{ 0 };
        /// Average of `rising`; how far it lags behind shows the trend.
        double rising_smoothed{ 0 };
        double falling{ 0 };
        core::instant updated_at;
    };

    [[nodiscard]] auto at( core::instant now ) const -> averages;

    averages averages_;
};

}

#endif
