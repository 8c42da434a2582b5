#ifndef POLLENSTREAM_ADAPTERS_THRIFT_PEER_CODEC_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_PEER_CODEC_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/ports/peer.hpp>

#include <gen-cpp/peer_types.h>

namespace pollenstream::adapters::thrift
{

/// Converts messages between instances to their Thrift structures.
auto to_wire( ports::heartbeat const& h ) -> wire::heartbeat;
auto to_wire( ports::peer_configuration const& c ) -> wire::configuration;
auto to_wire( ports::forwarded_call const& c ) -> wire::forwarded_call;
auto to_wire( state::call_outcome const& o ) -> wire::forwarded_reply;

/// Converts messages from a peer. Changed members with an invalid address are
/// skipped; a heartbeat whose sender has one yields an error.
auto from_wire( wire::heartbeat const& h ) -> core::result<ports::heartbeat>;
auto from_wire( wire::configuration const& c ) -> ports::peer_configuration;
auto from_wire( wire::forwarded_call const& c ) -> ports::forwarded_call;
auto from_wire( wire::forwarded_reply const& r ) -> state::call_outcome;

}

#endif
