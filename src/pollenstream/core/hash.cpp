#include <pollenstream/core/hash.hpp>

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace pollenstream::core
{

auto stable_hash( std::string_view text, std::uint64_t seed ) -> std::uint64_t
{
    return XXH3_64bits_withSeed( text.data(), text.size(), seed );
}

auto stable_fraction( std::string_view text ) -> double
{
    // A double holds 53 bits exactly.
    constexpr auto bits = 53U;
    return static_cast<double>( stable_hash( text ) >> ( 64U - bits ) ) /
           static_cast<double>( std::uint64_t{ 1 } << bits );
}

auto content_hash( std::string_view text ) -> std::string
{
    constexpr auto digits = 32;
    auto const hash = XXH3_128bits( text.data(), text.size() );
    auto out = std::array<char, digits + 1>{};
    std::snprintf( out.data(), out.size(), "%016llx%016llx",
                   static_cast<unsigned long long>( hash.high64 ),
                   static_cast<unsigned long long>( hash.low64 ) );
    return std::string( out.data(), digits );
}

}
