#ifndef POLLENSTREAM_PEERS_CBOR_HPP
#define POLLENSTREAM_PEERS_CBOR_HPP

#include <pollenstream/core/error.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace pollenstream::peers
{

/// Parses one CBOR value from another instance. Values that are nested too deep
/// are malformed: the parser calls itself for each level.
auto parse_cbor( std::string_view bytes ) -> core::result<nlohmann::json>;

}

#endif
