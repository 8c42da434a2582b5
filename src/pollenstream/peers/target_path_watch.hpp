#ifndef POLLENSTREAM_PEERS_TARGET_PATH_WATCH_HPP
#define POLLENSTREAM_PEERS_TARGET_PATH_WATCH_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/quiet_probe_schedule.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <memory>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Finds out whether this instance is cut off from all targets, and acts on it:
/// it asks the others to send no callers here, hands the requests over that
/// cannot be sent, and withdraws what its failures have made it believe of
/// targets.
///
/// While no target answers, it opens a connection to one from time to time.
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
    auto probe_if_quiet() -> void;
    auto probe( exchange::target_entry const& target,
                void ( target_path_watch::*on_failed )( core::instant ) )
        -> void;
    auto on_probe_failed( core::instant began ) -> void;
    auto on_quiet_probe_failed( core::instant began ) -> void;
    [[nodiscard]] auto probe_period() const -> core::duration;
    [[nodiscard]] auto population() const -> probe_population;
    [[nodiscard]] auto usable_targets() const
        -> std::vector<std::shared_ptr<exchange::target_entry>>;
    [[nodiscard]] auto targets_to_probe( std::size_t count )
        -> std::vector<std::shared_ptr<exchange::target_entry>>;

    exchange::exchange_context& context_;
    peer_group& group_;
    exchange::target_probe& probe_;
    /// Expires with this object, so that the callback of a probe that outlives
    /// it does nothing.
    std::shared_ptr<bool> alive_token_{ std::make_shared<bool>( true ) };
    core::instant next_probes_at_;
    std::size_t probes_per_round_{ 0 };
    int doubtful_rounds_{ 0 }; ///< of probes, since the path became doubtful
    quiet_probe_schedule quiet_probes_;
    ports::repeating_call checks_;
};

}

#endif
