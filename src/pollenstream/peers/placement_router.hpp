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

/// Counts of one instance's placement requests.
struct router_counters
{
    core::counter sent_to_others;        ///< to coordinators on other instances
    core::counter sent_to_self;          ///< to this instance's own coordinator
    core::counter sent_to_next;          ///< the previous one did not decide
    core::counter uncoordinated_choices; ///< no coordinator was left to ask
};

/// Sends each placement request to one of the coordinators, to the next one if
/// that does not answer, and to this instance's own coordinator if none
/// answers. No request is refused because coordinators do not answer.
class placement_router : public exchange::placement_client,
                         public placement_handler
{
public:
    /// `next_serial` returns a new serial for work of this instance.
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
    auto on_open_serials( core::instance_id const& from,
                          std::set<std::uint64_t> const& serials )
        -> void override;
    auto on_lost( core::instance_id const& which ) -> void override;
    [[nodiscard]] auto undecided() const -> std::vector<std::uint64_t> override;

    [[nodiscard]] auto counters() const -> router_counters const&
    {
        return counters_;
    }

private:
    struct pending;
    class request_handle;
    class local_listener;
    class remote_listener;
    using pending_ptr = std::shared_ptr<pending>;

    /// A coordinator that has not answered in time.
    struct unanswered
    {
        int timeouts{ 0 }; ///< since its last answer
        core::instant skip_until;
    };

    auto send( pending_ptr const& which ) -> void;
    auto send_to_own_coordinator( pending_ptr const& which ) -> void;
    auto send_to_next_coordinator( pending_ptr const& which ) -> void;
    auto next_coordinator( pending const& which ) const
        -> std::optional<core::instance_id>;
    [[nodiscard]] auto is_skipped( core::instance_id const& id ) const -> bool;
    auto note_timeout( core::instance_id const& id ) -> void;
    auto arm_timer( pending_ptr const& which, core::duration delay ) -> void;
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
    std::set<std::uint64_t> granted_; ///< serials whose work has not ended
    std::map<core::instance_id, unanswered> unanswered_;
    router_counters counters_;
};

}

#endif
