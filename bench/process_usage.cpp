#include "process_usage.hpp"

#include <ctime>
#include <malloc.h>

namespace bench
{

auto heap_bytes() -> std::int64_t
{
    return static_cast<std::int64_t>( mallinfo2().uordblks +
                                      mallinfo2().hblkhd );
}

auto processor_microseconds() -> double
{
    auto now = timespec{};
    clock_gettime( CLOCK_PROCESS_CPUTIME_ID, &now );
    constexpr auto micro = 1e6;
    constexpr auto nano = 1e3;
    return static_cast<double>( now.tv_sec ) * micro +
           static_cast<double>( now.tv_nsec ) / nano;
}

}
