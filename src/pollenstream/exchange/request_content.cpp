#include <pollenstream/core/hash.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <array>
#include <cstdint>
#include <cstdio>

namespace pollenstream::exchange
{

auto content_of( caller_request const& request,
                 core::workspace_id const& workspace ) -> content_id
{
    // The hash of each part is the seed for the next, so that moving text from
    // one part to its neighbour changes the id.
    auto hash = std::uint64_t{ 0 };
    for ( auto const* part : { &workspace.str(), &request.method, &request.host,
                               &request.target, &request.body } )
        hash = core::stable_hash( *part, hash );
    constexpr auto mask = ( std::uint64_t{ 1 } << 60U ) - 1;
    return content_id( static_cast<std::int64_t>( hash & mask ) );
}

namespace
{

auto formatted( char const* format, std::int64_t value ) -> std::string
{
    constexpr auto max_digits = std::size_t{ 16 };
    auto out = std::array<char, max_digits + 1>{};
    std::snprintf( out.data(), out.size(), format,
                   static_cast<unsigned long long>( value ) );
    return { out.data() };
}

}

auto to_string( content_id id ) -> std::string
{
    return formatted( "%016llx", id.count() );
}

auto to_string( prompt_part_id id ) -> std::string
{
    return formatted( "%llx", id.count() );
}

}
