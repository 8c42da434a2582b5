#ifndef POLLENSTREAM_MEMBERSHIP_RENDEZVOUS_HPP
#define POLLENSTREAM_MEMBERSHIP_RENDEZVOUS_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/membership/member.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace pollenstream::membership
{

/// Weight of `node` for `key` in rendezvous hashing: for each key the nodes
/// with the highest weights are its homes, and a node that comes or goes moves
/// only its own keys.
auto rendezvous_weight( std::string_view key, std::string_view node )
    -> std::uint64_t;

/// The `count` homes of a workspace among `alive`, best first. A workspace's
/// limits are divided between its homes, and callers are sent there, so that
/// the limits hold without a central counter.
auto workspace_homes( core::workspace_id const& workspace,
                      std::vector<member> const& alive,
                      std::size_t count ) -> std::vector<member>;

/// Part of a workspace's limits that `self` may hand out, from 0 to 1.
auto part_of_limits( core::workspace_id const& workspace,
                     core::instance_id const& self,
                     std::vector<member> const& alive,
                     std::size_t homes ) -> double;

}

#endif
