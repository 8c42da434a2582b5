#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_PORT_PROBE_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_PORT_PROBE_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>

namespace pollenstream::adapters::system
{

/// True if a process accepts connections at `address` within `limit`. Blocks.
auto accepts_connections( core::address const& address, core::duration limit )
    -> bool;

}

#endif
