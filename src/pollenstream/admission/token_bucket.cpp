#include <pollenstream/admission/token_bucket.hpp>

#include <algorithm>

namespace pollenstream::admission
{

auto token_bucket::take( double amount,
                         double rate,
                         double burst_seconds,
                         core::instant now ) -> core::duration
{
    auto const capacity = std::max( 1.0, rate * burst_seconds );
    auto const elapsed = is_new_ ? 0.0 : core::seconds_of( now - used_at_ );
    level_ = is_new_ ? capacity : std::min( capacity, level_ + elapsed * rate );
    is_new_ = false;
    used_at_ = now;
    auto const needed = std::min( amount, capacity );
    if ( level_ < needed )
        return core::duration_of( ( needed - level_ ) / rate ) +
               std::chrono::milliseconds( 1 );
    level_ -= amount;
    return core::duration( 0 );
}

}
