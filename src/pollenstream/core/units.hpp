#ifndef POLLENSTREAM_CORE_UNITS_HPP
#define POLLENSTREAM_CORE_UNITS_HPP

#include <pollenstream/core/strong.hpp>

#include <chrono>

namespace pollenstream::core
{

/// A number of model tokens.
using token_count = strong_number<struct token_count_tag>;

/// Tag clock of the process's monotonic time; it is read only through
/// `ports::clock`, so that tests can hold it.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Span of time, in microseconds.
using duration = monotonic_clock::duration;
/// A point in the process's monotonic time.
using instant = monotonic_clock::time_point;

/// The span as a floating-point number of seconds.
constexpr auto seconds_of( duration d ) noexcept -> double
{
    return std::chrono::duration<double>( d ).count();
}

/// The span nearest to `seconds`.
constexpr auto duration_of( double seconds ) noexcept -> duration
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>( seconds ) );
}

/// The span in whole milliseconds, rounded down.
constexpr auto milliseconds_of( duration d ) noexcept -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>( d ).count();
}

}

#endif
