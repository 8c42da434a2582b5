#include <pollenstream/admission/token_bucket.hpp>

#include <algorithm>

namespace pollenstream::admission
{

auto token_bucket::take( double amount,
                         double rate,
                         double burst_seconds,
                         core::instant now ) -> core::duration
{
    auto const full = std::max( 1.0, rate * burst_seconds );
    auto const passed = fresh_ ? 0.0 : core::seconds_of( now - at_ );
    level_ = fresh_ ? full : std::min( full, level_ + passed * rate );
    fresh_ = false;
    at_ = now;
    auto const needed = std::min( amount, full );
    if ( level_ < needed )
        return core::duration_of( ( needed - level_ ) / rate ) +
               std::chrono::milliseconds( 1 );
    level_ -= amount;
    return core::duration( 0 );
}

}
