#include <pollenstream/peers/caller_directory.hpp>

namespace pollenstream::peers
{

auto choose_caller_addresses( peer_group const& group,
                              std::string const& own_caller_address,
                              bool self_ready ) -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>{};
    if ( self_ready )
        addresses.push_back( own_caller_address );
    for ( auto const& [id, p] : group.peers() )
    {
        if ( addresses.size() >= max_directory_addresses )
            break;
        if ( p.alive && p.ready && !p.leaving )
            addresses.push_back( p.callers );
    }
    return addresses;
}

}
