#ifndef BENCH_PROCESS_USAGE_HPP
#define BENCH_PROCESS_USAGE_HPP

#include <cstddef>
#include <cstdint>

namespace bench
{

/// Bytes that the program has allocated and not freed.
auto heap_bytes() -> std::int64_t;

/// Processor time of this process in microseconds.
auto processor_microseconds() -> double;

/// Keeps the compiler from leaving out work whose result is not used.
template <class T>
auto keep( T const& value ) -> void
{
    asm volatile( "" : : "r,m"( value ) : "memory" );
}

/// Processor time of one run of `work`, over `least_runs` runs and a tenth of
/// a second at least.
template <class Work>
auto microseconds_per_run( Work const& work, int least_runs = 20 ) -> double
{
    constexpr auto least_microseconds = 100'000.0;
    auto runs = 0;
    auto const begin = processor_microseconds();
    auto spent = 0.0;
    while ( runs < least_runs || spent < least_microseconds )
    {
        keep( work() );
        ++runs;
        if ( runs % 16 == 0 || runs == least_runs )
            spent = processor_microseconds() - begin;
    }
    return ( processor_microseconds() - begin ) / runs;
}

}

#endif
