#ifndef POLLENSTREAM_PROFILES_PROFILE_HPP
#define POLLENSTREAM_PROFILES_PROFILE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/priority.hpp>

#include <vector>

namespace pollenstream::profiles
{

/// Operator-defined settings for one class of requests.
struct profile
{
    core::profile_id id;
    core::service_id service;
    priority request_priority{ priority::normal };
    core::duration first_token_goal{ 0 }; ///< desired, not enforced
    core::duration time_base{ 0 };        ///< time limit for an empty prompt
    /// Added to the time limit per 1000 prompt tokens, in proportion.
    core::duration time_per_1k_tokens{ 0 };
    std::int64_t retries{ 0 };
    bool idempotent{ true };
    core::token_count max_output;
    /// Requests per second that one workspace may start with this profile; 0
    /// means no limit.
    std::int64_t workspace_requests_per_second{ 0 };
    /// Preferred data centres; their order has no effect.
    std::vector<core::data_centre_id> data_centres;
};

/// The time limit for a request with `prompt` prompt tokens.
auto time_limit( profile const& p, core::token_count prompt ) -> core::duration;

/// What the targets of a service are.
enum class service_kind
{
    model, ///< model engines that stream tokens
    plain, ///< services that answer one call with one reply
};

/// A group of interchangeable targets.
struct service
{
    core::service_id id;
    service_kind kind{ service_kind::model };
    core::model_id model;         ///< model that the engines have to serve
    bool checks_fencing{ false }; ///< rejects outdated fencing numbers
    /// Maximum number of the service's targets that one instance uses; the rest
    /// is left to other instances.
    std::int64_t targets_per_instance{ 0 };
};

/// Limits of one customer's requests. Workspaces that are not configured have
/// the default values.
struct workspace
{
    core::workspace_id id;
    std::int64_t share{ 1 }; ///< relative weight when the fleet is full
    std::int64_t requests_per_second{ 0 }; ///< 0 means no limit
    std::int64_t tokens_per_second{ 0 };   ///< 0 means no limit
};

}

#endif
