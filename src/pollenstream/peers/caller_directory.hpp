#ifndef POLLENSTREAM_PEERS_CALLER_DIRECTORY_HPP
#define POLLENSTREAM_PEERS_CALLER_DIRECTORY_HPP

#include <pollenstream/peers/peer_group.hpp>

#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Addresses that one answer of the directory names at most.
inline constexpr auto most_directory_addresses = std::size_t{ 64 };

/// Where callers should connect: all instances that say that they are ready
/// and were heard lately, this one too where `self_ready`. Never empty while
/// this instance serves; callers count an empty answer as a failure.
auto choose_caller_addresses( peer_group const& group,
                              std::string const& own_callers,
                              bool self_ready ) -> std::vector<std::string>;

}

#endif
