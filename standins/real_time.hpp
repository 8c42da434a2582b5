#ifndef STANDINS_REAL_TIME_HPP
#define STANDINS_REAL_TIME_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>

namespace standins
{

/// Monotonic time of the stand-in's process.
inline auto real_now() -> pollenstream::core::instant
{
    return pollenstream::core::instant(
        std::chrono::duration_cast<pollenstream::core::duration>(
            std::chrono::steady_clock::now().time_since_epoch() ) );
}

}

#endif
