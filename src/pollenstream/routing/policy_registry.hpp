#ifndef POLLENSTREAM_ROUTING_POLICY_REGISTRY_HPP
#define POLLENSTREAM_ROUTING_POLICY_REGISTRY_HPP

#include <pollenstream/routing/target_policy.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pollenstream::routing
{

/// Names of all policies: the baselines, `predicted`, and variants of
/// `predicted` with one part switched off.
auto policy_names() -> std::vector<std::string_view>;

/// Makes the policy called `name`, or null if there is none. The seed fixes the
/// policy's random choices.
auto make_policy( std::string_view name, std::uint64_t seed )
    -> std::unique_ptr<target_policy>;

}

#endif
