#ifndef POLLENSTREAM_PEERS_COMPRESSION_HPP
#define POLLENSTREAM_PEERS_COMPRESSION_HPP

#include <pollenstream/core/error.hpp>

#include <string>
#include <string_view>

namespace pollenstream::peers
{

/// Compresses `bytes` into zlib's format. A configuration shrinks to about a
/// fifth of its size.
auto compress( std::string_view bytes ) -> std::string;

/// Restores what `compress` was given. Returns the error `malformed` for input
/// that is not zlib data or is cut short, and `too_large` if the output exceeds
/// `max_bytes`.
auto decompress( std::string_view bytes, std::size_t max_bytes )
    -> core::result<std::string>;

}

#endif
