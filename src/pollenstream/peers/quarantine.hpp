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

/// Acts on what the crash history finds at this instance: tells the others of a
/// content that ends its targets, ends what is open of it here, and lifts the
/// quarantine where its targets turn out to live.
class quarantine
{
public:
    /// True while the registry has been up to date for as long as entries of
    /// ended targets take to lapse.
    using registry_state = std::function<bool()>;

    quarantine( exchange::exchange_context& context,
                peer_group& group,
                exchange::target_probe& probe,
                registry_state is_current );

    auto start() -> void;

    /// Called with each content whose quarantine begins or ends here.
    std::function<void( exchange::content_id )> on_changed;

private:
    auto review() -> void;
    auto take_new() -> void;
    auto look_at( exchange::crashed_run const& last ) -> void;
    auto hold( exchange::content_id content ) -> void;
    auto lift_cleared() -> void;
    auto note( exchange::content_id content,
               std::string now,
               std::string because ) -> void;

    exchange::exchange_context& context_;
    peer_group& group_;
    exchange::target_probe& probe_;
    registry_state is_current_;
    std::vector<exchange::content_id> new_;
    /// Gone with this, which a probe that is under way may outlive.
    std::shared_ptr<bool> lives_{ std::make_shared<bool>( true ) };
    std::set<exchange::content_id> held_;
    std::unique_ptr<ports::scheduled_call> take_call_;
    std::unique_ptr<ports::scheduled_call> review_call_;
};

}

#endif
