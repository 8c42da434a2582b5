#ifndef POLLENSTREAM_PEERS_CBOR_HPP
#define POLLENSTREAM_PEERS_CBOR_HPP

#include <pollenstream/core/error.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace pollenstream::peers
{

/// Maximum number of values in one that is parsed. A value takes many times the
/// memory of its bytes.
inline constexpr auto max_cbor_values = std::size_t{ 262'144 };

/// Parses one CBOR value from another instance. Values that are nested too deep
/// are malformed, as the parser calls itself for each level, and so are those
/// that have too many values in them.
auto parse_cbor( std::string_view bytes ) -> core::result<nlohmann::json>;

}

#endif
