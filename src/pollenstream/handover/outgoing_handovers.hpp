#ifndef POLLENSTREAM_HANDOVER_OUTGOING_HANDOVERS_HPP
#define POLLENSTREAM_HANDOVER_OUTGOING_HANDOVERS_HPP

#include <pollenstream/exchange/handover.hpp>
#include <pollenstream/handover/handover_transport.hpp>
#include <pollenstream/handover/peer_choice.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace pollenstream::handover
{

/// The requests that this instance has handed over to others. It chooses who
/// takes one, leaves out for a moment who has refused, and ends those whose
/// instance falls silent or restarts.
class outgoing_handovers : public exchange::handover_client
{
public:
    /// `near`: the data centre of this instance.
    outgoing_handovers( ports::scheduler& scheduler,
                        peers::peer_group const& group,
                        handover_transport& transport,
                        core::data_centre_id near,
                        std::uint32_t random_seed );
    ~outgoing_handovers() override;

    auto start() -> void;

    [[nodiscard]] auto choose( std::set<core::instance_id> const& asked )
        -> std::optional<core::instance_id> override;
    auto send( exchange::outgoing_handover handover,
               std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> override;

    /// Number of requests that are open at other instances.
    [[nodiscard]] auto open() const -> std::size_t;

private:
    class open_handover;
    /// Shared with the open handovers, which remove themselves.
    struct shared_state
    {
        std::set<open_handover*> open;
        /// When each instance last refused to take a request.
        std::map<core::instance_id, core::instant> refused_at;
    };

    auto candidates( std::set<core::instance_id> const& asked ) const
        -> std::vector<candidate>;
    [[nodiscard]] auto open_at( core::instance_id const& id ) const
        -> std::size_t;
    auto end_lost() -> void;

    ports::scheduler& scheduler_;
    peers::peer_group const& group_;
    handover_transport& transport_;
    core::data_centre_id near_;
    std::minstd_rand random_;
    std::shared_ptr<shared_state> state_;
    ports::repeating_call checks_;
};

}

#endif
