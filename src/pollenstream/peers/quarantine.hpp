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

/// Quarantines contents that crash their targets. When a content awaits
/// confirmation, the last target where it broke off is probed; unless that
/// target accepts connections, the content is quarantined: this instance ends
/// its requests for the content that no target decodes yet and, if it is a
/// coordinator, informs the others. The quarantine ends when the content is
/// served, its targets turn out to be alive, or its crashes are too old.
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

    /// Called with each content whose quarantine begins or ends at this
    /// instance.
    std::function<void( exchange::content_id )> on_changed;

private:
    auto review() -> void;
    auto quarantine_new() -> void;
    auto probe_target( exchange::crashed_run const& last ) -> void;
    auto begin_quarantine( exchange::content_id content ) -> void;
    auto lift_ended_quarantines() -> void;
    auto log_change( exchange::content_id content,
                     std::string state,
                     std::string reason ) -> void;

    exchange::exchange_context& context_;
    peer_group& group_;
    exchange::target_probe& probe_;
    registry_check is_registry_current_;
    /// Found to crash their targets; their quarantine begins with the next call
    /// of `quarantine_new`.
    std::vector<exchange::content_id> new_contents_;
    /// Expires with this object, so that the callback of a probe that outlives
    /// it does nothing.
    std::shared_ptr<bool> alive_token_{ std::make_shared<bool>( true ) };
    std::set<exchange::content_id> quarantined_;
    std::unique_ptr<ports::scheduled_call> quarantine_call_;
    std::unique_ptr<ports::scheduled_call> review_call_;
};

}

#endif
