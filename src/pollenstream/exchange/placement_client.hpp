#ifndef POLLENSTREAM_EXCHANGE_PLACEMENT_CLIENT_HPP
#define POLLENSTREAM_EXCHANGE_PLACEMENT_CLIENT_HPP

#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/report_memory.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// A request for targets, for one prompt or plain call.
struct placement_request
{
    core::instance_id requester;
    std::uint64_t serial{ 0 }; ///< of the work, unique at the requester
    attempt_id attempt;        ///< for logs
    content_id content;
    std::vector<prompt_part_id> shared_parts; ///< of the prompt
    /// What the choice depends on. Times are as of the request; the coordinator
    /// fills in what depends on its own queue.
    placement_demand demand;
    int priority{ 0 }; ///< lower values go first
    /// True where no part of the prompt has run yet.
    bool may_be_refused{ true };
    /// The request is a trial of a quarantine that a target has rejected.
    bool continues_trial{ false };
    /// Of the request of another instance, while it waits or is granted.
    std::shared_ptr<report_claim> memory;
};

/// The targets that a prompt was granted.
struct placement_grant
{
    std::uint64_t serial{ 0 }; ///< of the work, as in the request
    placement_choice choice;
    core::instance_id decided_by;
    /// The content or a part of the prompt may have crashed targets. If the
    /// is served, the requester reports this to the coordinators.
    bool is_suspect{ false };
    /// The request is sent although it is quarantined.
    bool is_trial{ false };
};

/// Why a prompt was refused.
struct placement_refusal
{
    std::string reason;
    core::duration retry_after{ 0 }; ///< zero: a retry is pointless
};

/// Receives the outcome of a placement request: any number of `on_queued`, then
/// one of the others, unless the request is withdrawn.
class placement_listener
{
public:
    virtual ~placement_listener() = default;
    virtual auto on_granted( placement_grant grant ) -> void = 0;
    virtual auto on_refused( placement_refusal refusal ) -> void = 0;
    /// No target has capacity now; `waiting` requests wait at the coordinator.
    virtual auto on_queued( std::size_t waiting ) -> void = 0;
};

/// A placement request that is not decided yet. Destroying it withdraws the
/// request.
class open_placement
{
public:
    virtual ~open_placement() = default;
};

/// Obtains targets for prompts from a coordinator.
class placement_client
{
public:
    virtual ~placement_client() = default;
    /// May call `listener` before it returns. The caller sets
    /// `new_request.serial`.
    virtual auto request( placement_request new_request,
                          std::shared_ptr<placement_listener> listener )
        -> std::unique_ptr<open_placement> = 0;
    /// True where this instance is the active coordinator, which requesters try
    /// first.
    [[nodiscard]] virtual auto is_active_coordinator() const -> bool = 0;
    /// The work of a grant has ended.
    virtual auto release( std::uint64_t serial ) -> void = 0;
};

}

#endif
