#ifndef POLLENSTREAM_PEERS_PLACEMENT_TRANSPORT_HPP
#define POLLENSTREAM_PEERS_PLACEMENT_TRANSPORT_HPP

#include <pollenstream/peers/peer_message.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace pollenstream::peers
{

/// Carries asks for targets and their answers between instances. Both may be
/// lost.
class placement_transport
{
public:
    virtual ~placement_transport() = default;
    /// The instances that place prompts, the one to ask first in front.
    [[nodiscard]] virtual auto coordinators() const
        -> std::vector<core::instance_id> = 0;
    virtual auto send_request( core::instance_id const& to,
                               exchange::placement_request const& request )
        -> void = 0;
    virtual auto send_answer( core::instance_id const& to,
                              placement_answer const& answer ) -> void = 0;
    /// An ask is withdrawn, or its grant is not taken.
    virtual auto send_release( core::instance_id const& to,
                               std::uint64_t serial ) -> void = 0;
};

/// Hears of asks and answers from other instances.
class placement_handler
{
public:
    virtual ~placement_handler() = default;
    /// `request.requester` is the sender.
    virtual auto on_request( exchange::placement_request request ) -> void = 0;
    virtual auto on_answer( core::instance_id const& from,
                            placement_answer const& answer ) -> void = 0;
    /// Work of `from` has ended, or an ask was withdrawn there.
    virtual auto on_released( core::instance_id const& from,
                              std::uint64_t serial ) -> void = 0;
    /// All that `from` has open, asked for or granted.
    virtual auto on_open( core::instance_id const& from,
                          std::set<std::uint64_t> const& serials ) -> void = 0;
    /// The instance has ended, leaves, or is not heard.
    virtual auto on_lost( core::instance_id const& which ) -> void = 0;
    /// Asks of this instance that are not decided.
    [[nodiscard]] virtual auto undecided() const
        -> std::vector<std::uint64_t> = 0;
};

}

#endif
