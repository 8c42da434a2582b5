#ifndef POLLENSTREAM_PROFILES_PROFILE_HPP
#define POLLENSTREAM_PROFILES_PROFILE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/priority.hpp>

#include <vector>

namespace pollenstream::profiles
{

/// How one class of work is to be served, as an operator named it.
struct profile
{
    core::profile_id id;
    core::service_id service;
    priority order{ priority::normal };
    core::duration first_token_goal{ 0 }; ///< wanted, not promised
    core::duration time_base{ 0 };        ///< time limit of an empty prompt
    core::duration time_per_1k_tokens{ 0 };
    std::int64_t retries{ 0 };
    bool idempotent{ true };
    core::token_count max_output;
    /// Requests a second that one workspace may start; 0 means no limit.
    std::int64_t workspace_requests_per_second{ 0 };
    std::vector<core::data_centre_id>
        data_centres; ///< preferred places, best first
};

/// The time within which a request with `prompt` tokens ends.
auto time_limit( profile const& p, core::token_count prompt ) -> core::duration;

/// What the targets of a service are.
enum class service_kind
{
    model, ///< model engines that stream tokens
    plain, ///< services that answer one call with one reply
};

/// A group of targets that stand in for each other.
struct service
{
    core::service_id id;
    service_kind kind{ service_kind::model };
    core::model_id model;         ///< what the engines have to have loaded
    bool checks_fencing{ false }; ///< refuses orders with an old number
    /// Targets beyond this many are left to other instances.
    std::int64_t targets_per_instance{ 0 };
};

/// A customer's limits. Workspaces without a section have the defaults.
struct workspace
{
    core::workspace_id id;
    std::int64_t share{ 1 };               ///< weight when the fleet is full
    std::int64_t requests_per_second{ 0 }; ///< 0 means no limit
    std::int64_t tokens_per_second{ 0 };   ///< 0 means no limit
};

}

#endif
