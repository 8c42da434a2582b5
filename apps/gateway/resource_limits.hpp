#ifndef POLLENSTREAM_APPS_GATEWAY_RESOURCE_LIMITS_HPP
#define POLLENSTREAM_APPS_GATEWAY_RESOURCE_LIMITS_HPP

#include "../../platform/settings_file.hpp"

#include <cstddef>

namespace pollenstream::gateway
{

/// How an instance divides the memory and the descriptors of its process. What
/// is left of the memory is for what the process knows, and for what the
/// allocator cannot reuse.
struct resource_limits
{
    /// For connections and requests, at all ports.
    std::size_t received_bytes{ 0 };
    /// For answers, from their first byte until the caller has taken the last.
    std::size_t answer_bytes{ 0 };
    /// For replies of the store and of other instances.
    std::size_t reply_bytes{ 0 };
    /// For what other instances report of their open requests.
    std::size_t report_bytes{ 0 };
    /// For records of the store, as far as other instances send them.
    std::size_t record_bytes{ 0 };
    /// Connections at all ports. The other descriptors are for the store, the
    /// targets and other instances.
    std::size_t connections{ 0 };
};

auto resource_limits_of( platform::gateway_settings const& settings )
    -> resource_limits;

}

#endif
