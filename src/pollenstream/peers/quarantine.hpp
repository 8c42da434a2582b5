#ifndef POLLENSTREAM_PEERS_QUARANTINE_HPP
#define POLLENSTREAM_PEERS_QUARANTINE_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace pollenstream::peers
{

/// Carries out the quarantines that a crash history finds. Only coordinators
/// know of all crashes, so that only they begin one. The last target that
/// crashed is probed first; unless it accepts connections, the quarantine
/// begins: this instance ends its requests that no target decodes yet and, if
/// it is a coordinator, informs the others. The quarantine ends when a suspect
/// is served, as in a trial, its targets turn out to be alive, another cause
/// explains the crashes, or they are too old.
class quarantine
{
public:
    /// Returns true if the registry has been up to date for at least the time
    /// after which the entry of an ended target expires, so that a target that
    /// is still listed is alive.
    using registry_check = std::function<bool()>;

    quarantine( exchange::exchange_context& context,
                peer_group& group,
                exchange::target_probe& probe,
                registry_check is_registry_current );

    auto start() -> void;

    /// Called with the suspects of each quarantine that begins or ends at this
    /// instance, or has a trial that this instance grants.
    std::function<void( exchange::suspect_list const& )> on_changed;

private:
    auto review() -> void;
    auto schedule_update() -> void;
    auto update() -> void;
    auto probe_target( exchange::target_ref const& target ) -> void;
    auto begin_quarantine( exchange::quarantined_group const& group ) -> void;
    auto on_trial( exchange::quarantined_group const& group ) -> void;
    auto lift_ended_quarantines() -> void;
    auto end_requests() -> void;
    auto log_change( exchange::suspect_list const& suspects,
                     std::string state,
                     std::string reason ) -> void;

    exchange::exchange_context& context_;
    peer_group& group_;
    exchange::target_probe& probe_;
    registry_check is_registry_current_;
    /// Expires with this object, so that the callback of a probe that outlives
    /// it does nothing.
    std::shared_ptr<bool> alive_token_{ std::make_shared<bool>( true ) };
    std::set<exchange::suspect_list> quarantined_;
    std::unique_ptr<ports::scheduled_call> update_call_;
    std::unique_ptr<ports::scheduled_call> review_call_;
};

}

#endif
