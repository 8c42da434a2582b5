#ifndef POLLENSTREAM_PEERS_COMPRESSION_HPP
#define POLLENSTREAM_PEERS_COMPRESSION_HPP

#include <pollenstream/core/error.hpp>

#include <string>
#include <string_view>

namespace pollenstream::peers
{

/// `bytes` in zlib's format. A configuration shrinks to about a fifth.
auto compress( std::string_view bytes ) -> std::string;

/// What `compress` was given. Error `malformed` for anything else, and
/// `too_large` for more than `most` bytes.
auto decompress( std::string_view bytes, std::size_t most )
    -> core::result<std::string>;

}

#endif
