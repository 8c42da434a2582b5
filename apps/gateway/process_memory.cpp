#include "process_memory.hpp"

#include <fstream>
#include <unistd.h>

namespace pollenstream::gateway
{

auto resident_bytes() -> std::optional<std::uint64_t>
{
    auto file = std::ifstream( "/proc/self/statm" );
    auto total_pages = std::uint64_t{ 0 };
    auto resident_pages = std::uint64_t{ 0 };
    if ( !( file >> total_pages >> resident_pages ) )
        return std::nullopt;
    return resident_pages *
           static_cast<std::uint64_t>( ::sysconf( _SC_PAGESIZE ) );
}

}
