#ifndef POLLENSTREAM_PEERS_CALLER_DIRECTORY_HPP
#define POLLENSTREAM_PEERS_CALLER_DIRECTORY_HPP

#include <pollenstream/peers/peer_group.hpp>

#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Maximum number of addresses in one answer of the directory.
inline constexpr auto max_directory_addresses = std::size_t{ 64 };

/// Addresses at which callers can connect: those of instances that are alive,
/// ready and not leaving, this one first if `self_ready`. Instances that are
/// cut off from all targets are named only if there are no others. Never empty
/// while this instance is ready: callers treat an empty answer as a failure.
auto choose_caller_addresses( peer_group const& group,
                              std::string const& own_caller_address,
                              bool self_ready ) -> std::vector<std::string>;

}

#endif
