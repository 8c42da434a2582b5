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

/// Quarantines contents that crash their targets. When the crash history of
/// this instance suspects a content, the last target that it broke at is
/// probed; if that target is down, the other instances are told, and the
/// requests for the content that no target decodes yet end here. The quarantine
/// is lifted when the content has been served, its targets turn out to be
/// alive, or its crashes are too old to count.
class quarantine
{
public:
    /// Returns true if the registry has been up to date for at least the time
    /// in which the entry of a target that has ended lapses, so that a target
    /// that is still listed is alive.
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
