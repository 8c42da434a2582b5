#ifndef POLLENSTREAM_APPS_GATEWAY_PROCESS_MEMORY_HPP
#define POLLENSTREAM_APPS_GATEWAY_PROCESS_MEMORY_HPP

#include <cstdint>
#include <optional>

namespace pollenstream::gateway
{

/// Resident memory of this process in bytes, as the kernel reports it; nullopt
/// if it does not.
auto resident_bytes() -> std::optional<std::uint64_t>;

}

#endif
