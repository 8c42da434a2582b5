#ifndef POLLENSTREAM_PEERS_PLACEMENT_ROUTER_HPP
#define POLLENSTREAM_PEERS_PLACEMENT_ROUTER_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>
#include <pollenstream/peers/placement_transport.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Counts of one instance's asks.
struct router_counters
{
    core::counter asked_others;
    core::counter asked_self;
    core::counter asked_next; ///< the one before did not answer
    core::counter own_choice; ///< nobody answered
};

/// Asks one of the coordinators for targets, the next one where that does not
/// answer, and this instance's own where none does: no request is refused
/// because a coordinator is silent.
class placement_router : public exchange::placement_client,
                         public placement_handler
{
public:
    /// `next_serial` gives out serials of this instance's work.
    placement_router( core::instance_id self,
                      ports::scheduler& scheduler,
                      placement_transport& transport,
                      exchange::placement_coordinator& coordinator,
                      exchange::load_table const& loads,
                      std::function<std::uint64_t()> next_serial );
    ~placement_router() override;
    placement_router( placement_router const& ) = delete;
    auto operator=( placement_router const& ) -> placement_router& = delete;

    auto request( exchange::placement_request what,
                  std::shared_ptr<exchange::placement_listener> listener )
        -> std::unique_ptr<exchange::open_placement> override;
    [[nodiscard]] auto is_active_coordinator() const -> bool override;
    auto release( std::uint64_t serial ) -> void override;

    auto on_request( exchange::placement_request request ) -> void override;
    auto on_answer( core::instance_id const& from,
                    placement_answer const& answer ) -> void override;
    auto on_released( core::instance_id const& from, std::uint64_t serial )
        -> void override;
    auto on_open( core::instance_id const& from,
                  std::set<std::uint64_t> const& serials ) -> void override;
    auto on_lost( core::instance_id const& which ) -> void override;
    [[nodiscard]] auto undecided() const -> std::vector<std::uint64_t> override;

    [[nodiscard]] auto counters() const -> router_counters const&
    {
        return counters_;
    }

private:
    struct pending;
    class handle;
    class local_answer;
    class remote_answer;
    using pending_ptr = std::shared_ptr<pending>;

    /// An instance that did not answer lately.
    struct silence
    {
        int misses{ 0 };
        core::instant until; ///< not asked until then
    };

    auto send( pending_ptr const& which ) -> void;
    auto send_local( pending_ptr const& which ) -> void;
    auto send_next( pending_ptr const& which ) -> void;
    auto next_coordinator( pending const& which ) const
        -> std::optional<core::instance_id>;
    [[nodiscard]] auto is_suspect( core::instance_id const& id ) const -> bool;
    auto note_miss( core::instance_id const& id ) -> void;
    auto arm( pending_ptr const& which, core::duration delay ) -> void;
    auto on_timer( pending_ptr const& which ) -> void;
    auto close( pending_ptr const& which ) -> void;
    auto withdraw( pending_ptr const& which ) -> void;
    auto grant( pending_ptr const& which, exchange::placement_grant grant )
        -> void;
    auto choice_of( placement_answer const& answer ) const
        -> exchange::placement_choice;

    core::instance_id self_;
    ports::scheduler& scheduler_;
    placement_transport& transport_;
    exchange::placement_coordinator& coordinator_;
    exchange::load_table const& load_table_;
    std::function<std::uint64_t()> next_serial_;
    std::map<std::uint64_t, pending_ptr> pending_;
    std::set<std::uint64_t> granted_; ///< whose work has not ended
    std::map<core::instance_id, silence> silences_;
    router_counters counters_;
};

}

#endif
