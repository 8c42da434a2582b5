#ifndef POLLENSTREAM_PEERS_PLACEMENT_TRANSPORT_HPP
#define POLLENSTREAM_PEERS_PLACEMENT_TRANSPORT_HPP

#include <pollenstream/peers/peer_message.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace pollenstream::peers
{

/// Carries placement requests and their answers between instances. Either may
/// be lost.
class placement_transport
{
public:
    virtual ~placement_transport() = default;
    /// The coordinators, with the one to ask first in front.
    [[nodiscard]] virtual auto coordinators() const
        -> std::vector<core::instance_id> = 0;
    virtual auto send_request( core::instance_id const& to,
                               exchange::placement_request const& request )
        -> void = 0;
    virtual auto send_answer( core::instance_id const& to,
                              placement_answer const& answer ) -> void = 0;
    /// Withdraws a placement request, or gives its grant back.
    virtual auto send_release( core::instance_id const& to,
                               std::uint64_t serial ) -> void = 0;
};

/// Receives placement requests and answers from other instances.
class placement_handler
{
public:
    virtual ~placement_handler() = default;
    /// `request.requester` is the sender.
    virtual auto on_request( exchange::placement_request request ) -> void = 0;
    virtual auto on_answer( core::instance_id const& from,
                            placement_answer const& answer ) -> void = 0;
    /// Work of `from` has ended, or `from` has withdrawn a placement request.
    virtual auto on_released( core::instance_id const& from,
                              std::uint64_t serial ) -> void = 0;
    /// `serials` are all placement requests and grants of `from` that are open.
    virtual auto on_open_serials( core::instance_id const& from,
                                  std::set<std::uint64_t> const& serials )
        -> void = 0;
    /// The instance has ended, is leaving, or is not heard from any more.
    virtual auto on_lost( core::instance_id const& which ) -> void = 0;
    /// Serials of this instance's placement requests that are not decided.
    [[nodiscard]] virtual auto undecided() const
        -> std::vector<std::uint64_t> = 0;
};

}

#endif
