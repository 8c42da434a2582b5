#include <pollenstream/core/hash.hpp>
#include <pollenstream/membership/rendezvous.hpp>

#include <algorithm>

namespace pollenstream::membership
{

auto rendezvous_weight( std::string_view key, std::string_view node )
    -> std::uint64_t
{
    return core::stable_hash( node, core::stable_hash( key ) );
}

auto workspace_homes( core::workspace_id const& workspace,
                      std::vector<member> const& alive,
                      std::size_t count ) -> std::vector<member>
{
    auto homes = alive;
    auto const weight = [&]( member const& m )
    {
        return rendezvous_weight( workspace.str(), m.id.str() );
    };
    auto const kept = std::min( count, homes.size() );
    std::partial_sort( homes.begin(),
                       homes.begin() + static_cast<std::ptrdiff_t>( kept ),
                       homes.end(),
                       [&]( member const& a, member const& b )
                       {
                           return weight( a ) > weight( b );
                       } );
    homes.resize( kept );
    return homes;
}

auto part_of_limits( core::workspace_id const& workspace,
                     core::instance_id const& self,
                     std::vector<member> const& alive,
                     std::size_t homes ) -> double
{
    auto const own = workspace_homes( workspace, alive, homes );
    auto const is_home = std::any_of( own.begin(), own.end(),
                                      [&]( member const& m )
                                      {
                                          return m.id == self;
                                      } );
    return is_home ? 1.0 / static_cast<double>( own.size() ) : 0.0;
}

}
