#ifndef BENCH_CAPACITY_ROWS_HPP
#define BENCH_CAPACITY_ROWS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bench
{

/// What one unit of a role's work costs at one size.
struct capacity_row
{
    double cpu_microseconds{ 0 }; ///< of one unit of work
    double bytes{ 0 };            ///< on the wire for one unit of work
    double memory_bytes{ 0 };     ///< held for the whole size
};

/// One role with the sizes that it is measured at.
struct capacity_measure
{
    std::string role;
    std::string unit; ///< what one unit of work is
    std::vector<std::int64_t> sizes;
    std::function<capacity_row( std::int64_t size )> run;
};

auto capacity_measures() -> std::vector<capacity_measure>;

}

#endif
