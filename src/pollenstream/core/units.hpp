#ifndef POLLENSTREAM_CORE_UNITS_HPP
#define POLLENSTREAM_CORE_UNITS_HPP

#include <pollenstream/core/strong.hpp>

#include <chrono>

namespace pollenstream::core
{

/// A number of model tokens.
using token_count = strong_number<struct token_count_tag>;

/// Clock type of the process's monotonic time. It has no `now()`: the time is
/// read through `ports::clock` or `ports::scheduler`, so that tests control it.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A time span in microseconds.
using duration = monotonic_clock::duration;
/// A point in time of `monotonic_clock`.
using instant = monotonic_clock::time_point;

/// Converts a duration to seconds.
constexpr auto seconds_of( duration d ) noexcept -> double
{
    return std::chrono::duration<double>( d ).count();
}

/// Converts seconds to a duration, truncated to whole microseconds.
constexpr auto duration_of( double seconds ) noexcept -> duration
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>( seconds ) );
}

/// Converts milliseconds to a duration, truncated to whole microseconds.
constexpr auto duration_of_ms( double ms ) noexcept -> duration
{
    constexpr auto ms_per_second = 1'000.0;
    return duration_of( ms / ms_per_second );
}

/// Converts a duration to milliseconds, truncated.
constexpr auto milliseconds_of( duration d ) noexcept -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>( d ).count();
}

}

#endif
