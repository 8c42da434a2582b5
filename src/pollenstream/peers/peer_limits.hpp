#ifndef POLLENSTREAM_PEERS_PEER_LIMITS_HPP
#define POLLENSTREAM_PEERS_PEER_LIMITS_HPP

#include <cstddef>

namespace pollenstream::peers
{

/// Maximum number of other instances, and of their addresses, that are
/// remembered. Whoever reaches the port for datagrams can name any.
inline constexpr auto max_peers = std::size_t{ 4096 };
/// Maximum size of an instance's id or data centre.
inline constexpr auto max_peer_name_bytes = std::size_t{ 255 };
/// Maximum size of the id of a target that is remembered for its crash.
inline constexpr auto max_target_id_bytes = std::size_t{ 255 };
/// Maximum size of an address, with or without its port.
inline constexpr auto max_address_bytes = std::size_t{ 64 };

}

#endif
