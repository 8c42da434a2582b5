#include <pollenstream/core/hash.hpp>
#include <pollenstream/membership/rendezvous.hpp>

#include <algorithm>

namespace pollenstream::membership
{

auto rendezvous_weight( std::string_view key, std::string_view candidate )
    -> std::uint64_t
{
    return core::stable_hash( candidate, core::stable_hash( key ) );
}

auto limit_owners( core::workspace_id const& workspace,
                   std::vector<member> const& alive,
                   std::size_t count ) -> std::vector<member>
{
    auto owners = alive;
    auto const weight = [&]( member const& m )
    {
        return rendezvous_weight( workspace.str(), m.id.str() );
    };
    auto const kept = std::min( count, owners.size() );
    std::partial_sort( owners.begin(),
                       owners.begin() + static_cast<std::ptrdiff_t>( kept ),
                       owners.end(),
                       [&]( member const& a, member const& b )
                       {
                           return weight( a ) > weight( b );
                       } );
    owners.resize( kept );
    return owners;
}

auto limit_share( core::workspace_id const& workspace,
                  core::instance_id const& self,
                  std::vector<member> const& alive,
                  std::size_t owner_count ) -> double
{
    auto const owners = limit_owners( workspace, alive, owner_count );
    auto const is_owner = std::any_of( owners.begin(), owners.end(),
                                       [&]( member const& m )
                                       {
                                           return m.id == self;
                                       } );
    return is_owner ? 1.0 / static_cast<double>( owners.size() ) : 0.0;
}

}
