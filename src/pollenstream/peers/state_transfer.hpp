#ifndef POLLENSTREAM_PEERS_STATE_TRANSFER_HPP
#define POLLENSTREAM_PEERS_STATE_TRANSFER_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <string>

namespace pollenstream::peers
{

/// Path at which an instance gives its records to another one.
inline constexpr auto state_path = "/v1/records";

/// The records of one instance for another one; CBOR.
auto encode_records( ports::record_batch const& batch ) -> std::string;
/// Error `malformed` for anything that `encode_records` cannot have written.
auto decode_records( std::string const& bytes )
    -> core::result<ports::record_batch>;

}

#endif
