#include "capacity_rows.hpp"

#include <docopt/docopt.h>

#include <iostream>

namespace
{

constexpr auto usage =
    R"(Measures the slopes that docs/CAPACITY.md works with; one row a size.

Usage:
  bench-capacity [--role=R]

Options:
  --role=R  Only this role.
)";

}

auto main( int argc, char** argv ) -> int
{
    auto const given = docopt::docopt( usage, { argv + 1, argv + argc } );
    for ( auto const& measure : bench::capacity_measures() )
    {
        auto const& wanted = given.at( "--role" );
        if ( wanted && wanted.asString() != measure.role )
            continue;
        for ( auto const size : measure.sizes )
        {
            auto const row = measure.run( size );
            std::cout << "role=" << measure.role << " size=" << size
                      << " unit=" << measure.unit
                      << " cpu_us=" << row.cpu_microseconds
                      << " bytes=" << row.bytes
                      << " memory_bytes=" << row.memory_bytes << std::endl;
        }
    }
    return 0;
}
