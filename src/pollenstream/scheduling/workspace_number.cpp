#include <pollenstream/core/hash.hpp>
#include <pollenstream/scheduling/workspace_number.hpp>

namespace pollenstream::scheduling
{

auto number_of( core::workspace_id const& id ) -> workspace_number
{
    constexpr auto low_bits = std::uint64_t{ 0xffffffff };
    if ( id.empty() )
        return {};
    return workspace_number(
        static_cast<std::int64_t>( core::stable_hash( id.str() ) & low_bits ) );
}

}
