#ifndef POLLENSTREAM_PEERS_STATE_TRANSFER_HPP
#define POLLENSTREAM_PEERS_STATE_TRANSFER_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <string>

namespace pollenstream::peers
{

/// Path at which an instance gives its records to another one.
inline constexpr auto state_path = "/v1/records";

/// The request for all changes after `after`.
auto state_request( ports::store_revision after ) -> std::string;
/// The revision that `state_request` named; 0 where there is none.
auto requested_revision( std::string const& target ) -> ports::store_revision;

/// Changes that one instance tells another; CBOR, compressed.
auto encode_update( registry::record_update const& update ) -> std::string;
/// Error `malformed` for anything that `encode_update` cannot have written.
auto decode_update( std::string const& bytes )
    -> core::result<registry::record_update>;

}

#endif
