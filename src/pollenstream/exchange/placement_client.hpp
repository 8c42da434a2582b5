#ifndef POLLENSTREAM_EXCHANGE_PLACEMENT_CLIENT_HPP
#define POLLENSTREAM_EXCHANGE_PLACEMENT_CLIENT_HPP

#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// A prompt for which an instance asks targets.
struct placement_request
{
    core::instance_id requester;
    std::uint64_t serial{ 0 }; ///< of the work at the asker, unique there
    attempt_id attempt;        ///< for logs
    content_id content;
    /// Targets that may have ended by runs of the content, as the asker knows.
    std::vector<target_ref> crashed_at;
    /// What the choice depends on. Times are as of when the ask was made; who
    /// decides fills in what waits there.
    placement_demand demand;
    int priority{ 0 };
    /// Nothing of it has run, so that it may be refused.
    bool may_be_refused{ true };
};

/// Targets that a prompt has got.
struct placement_grant
{
    std::uint64_t serial{ 0 }; ///< under which the work is known to others
    placement_choice choice;
    core::instance_id decided_by;
    /// The content is under suspicion; where it is served, others are told.
    bool is_suspect{ false };
};

/// Why a prompt gets no targets.
struct placement_refusal
{
    std::string reason;
    core::duration retry_after{ 0 }; ///< zero: coming back is no use
};

/// Hears what becomes of an ask: any number of `on_queued`, then one of the
/// others, unless the ask is withdrawn.
class placement_listener
{
public:
    virtual ~placement_listener() = default;
    virtual auto on_granted( placement_grant grant ) -> void = 0;
    virtual auto on_refused( placement_refusal refusal ) -> void = 0;
    /// No room now; `waiting` asks wait there.
    virtual auto on_queued( std::size_t waiting ) -> void = 0;
};

/// An ask that has not been decided. It is withdrawn when this goes.
class open_placement
{
public:
    virtual ~open_placement() = default;
};

/// Gets targets for prompts.
class placement_client
{
public:
    virtual ~placement_client() = default;
    /// May answer before it returns. `what.serial` is given out by the caller.
    virtual auto request( placement_request what,
                          std::shared_ptr<placement_listener> listener )
        -> std::unique_ptr<open_placement> = 0;
    /// This instance is the one that is asked first.
    [[nodiscard]] virtual auto is_active_coordinator() const -> bool = 0;
    /// The work of a grant has ended.
    virtual auto release( std::uint64_t serial ) -> void = 0;
};

}

#endif
