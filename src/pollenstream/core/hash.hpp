#ifndef POLLENSTREAM_CORE_HASH_HPP
#define POLLENSTREAM_CORE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstream::core
{

/// 64-bit hash whose value is the same in every process and every run.
auto stable_hash( std::string_view text, std::uint64_t seed = 0 )
    -> std::uint64_t;

/// Fraction in [0, 1) from the stable hash of `text`, evenly distributed.
auto stable_fraction( std::string_view text ) -> double;

/// 128-bit hash of `text` as 32 hexadecimal digits; identifies a document by
/// its content.
auto content_hash( std::string_view text ) -> std::string;

}

#endif
