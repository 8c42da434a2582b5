#include <pollenstream/scheduling/rate_forecast.hpp>

#include <algorithm>
#include <cmath>

namespace pollenstream::scheduling
{

namespace
{

/// Time constants in seconds. Waves last 4 to 10 s: a rise has to be noticed
/// within a small part of a wave, and a fall must not be assumed at each gap
/// between two long prompts, which come some tenths of a second apart.
constexpr auto rise_seconds = 1.0;
constexpr auto fall_seconds = 3.0;

}

auto rate_forecast::at( core::instant now ) const -> averages
{
    auto const age =
        std::max( 0.0, core::seconds_of( now - averages_.updated_at ) );
    auto const steps = age / rise_seconds;
    auto const decay = std::exp( -steps );
    return { averages_.rising * decay,
             ( averages_.rising_smoothed + averages_.rising * steps ) * decay,
             averages_.falling * std::exp( -age / fall_seconds ),
             std::max( now, averages_.updated_at ) };
}

auto rate_forecast::note( double amount, core::instant now ) -> void
{
    averages_ = at( now );
    averages_.rising += amount / rise_seconds;
    averages_.falling += amount / fall_seconds;
}

auto rate_forecast::per_second( core::instant now ) const -> double
{
    auto const current = at( now );
    auto const trend =
        std::max( 0.0, current.rising - current.rising_smoothed );
    return std::max( current.rising + trend, current.falling );
}

}
