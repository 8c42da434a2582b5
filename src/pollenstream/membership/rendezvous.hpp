#ifndef POLLENSTREAM_MEMBERSHIP_RENDEZVOUS_HPP
#define POLLENSTREAM_MEMBERSHIP_RENDEZVOUS_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/membership/member.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace pollenstream::membership
{

/// Weight of `candidate` for `key` in rendezvous hashing. A key belongs to the
/// candidates with the highest weights, so that a candidate that is added or
/// removed moves only its own keys.
auto rendezvous_weight( std::string_view key, std::string_view candidate )
    -> std::uint64_t;

/// The `count` limit owners of a workspace among `alive`, highest weight first.
/// A workspace's limits are divided between its owners, and callers are sent
/// to them, so that the limits hold without a central counter.
auto limit_owners( core::workspace_id const& workspace,
                   std::vector<member> const& alive,
                   std::size_t count ) -> std::vector<member>;

/// Share of a workspace's limits that `self` may hand out: an equal part where
/// it is one of the `owner_count` limit owners, else 0.
auto limit_share( core::workspace_id const& workspace,
                  core::instance_id const& self,
                  std::vector<member> const& alive,
                  std::size_t owner_count ) -> double;

}

#endif
