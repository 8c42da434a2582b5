#ifndef POLLENSTREAM_PEERS_STATE_TRANSFER_HPP
#define POLLENSTREAM_PEERS_STATE_TRANSFER_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <string>

namespace pollenstream::peers
{

/// Path at which an instance serves its records to other instances.
inline constexpr auto state_path = "/v1/records";

/// Path and query that request all changes after the revision `after`.
auto state_request_path( ports::store_revision after ) -> std::string;
/// The revision in the query of a request target that `state_request_path` has
/// built; 0 if there is none.
auto requested_revision( std::string const& request_target )
    -> ports::store_revision;

/// Encodes changes of records for another instance, as compressed CBOR.
auto encode_update( registry::record_update const& update ) -> std::string;
/// Returns the error `malformed` for bytes that `encode_update` cannot have
/// written.
auto decode_update( std::string const& bytes )
    -> core::result<registry::record_update>;
/// The same for an update from a datagram, which anybody may have sent: it may
/// expand to less.
auto decode_datagram_update( std::string const& bytes )
    -> core::result<registry::record_update>;

}

#endif
