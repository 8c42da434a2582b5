#ifndef POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_CLIENT_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_CLIENT_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/peer.hpp>

#include <memory>

namespace pollenstream::adapters::thrift
{

/// Calls other instances over framed Thrift. Each call opens a new connection,
/// so that a dead connection affects only one call. At two exchanges a second
/// this costs less than monitoring persistent connections.
class peer_thrift_client : public ports::peer_client
{
public:
    auto exchange( core::address const& peer, ports::heartbeat const& mine )
        -> core::result<ports::heartbeat> override;
    auto fetch_configuration( core::address const& peer,
                              core::revision newer_than,
                              std::vector<std::string> const& known_hashes )
        -> core::result<ports::peer_configuration> override;
    auto call( core::address const& peer, ports::forwarded_call const& what )
        -> core::result<state::call_outcome> override;
};

}

#endif
