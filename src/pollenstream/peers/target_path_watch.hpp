#ifndef POLLENSTREAM_PEERS_TARGET_PATH_WATCH_HPP
#define POLLENSTREAM_PEERS_TARGET_PATH_WATCH_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <memory>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Finds out whether this instance is cut off from all targets, and acts on it:
/// it asks the others to send no callers here, refuses the requests that cannot
/// be sent, and withdraws what its failures have made it believe of targets.
///
/// While the path is doubtful or cut, it opens connections to a few targets at
/// regular intervals. The first one that is accepted ends the cut.
class target_path_watch
{
public:
    target_path_watch( exchange::exchange_context& context,
                       peer_group& group,
                       exchange::target_probe& probe );

    auto start() -> void;

private:
    auto check() -> void;
    auto on_state( exchange::path_state state ) -> void;
    auto begin_cut() -> void;
    auto probe_targets() -> void;
    auto on_probed( std::optional<bool> listens ) -> void;
    [[nodiscard]] auto targets_to_probe()
        -> std::vector<std::shared_ptr<exchange::target_entry>>;

    exchange::exchange_context& context_;
    peer_group& group_;
    exchange::target_probe& probe_;
    /// Expires with this object, so that the callback of a probe that outlives
    /// it does nothing.
    std::shared_ptr<bool> alive_token_{ std::make_shared<bool>( true ) };
    core::instant next_probes_at_;
    std::size_t probes_per_round_{ 0 };
    ports::repeating_call checks_;
};

}

#endif
