#include <pollenstream/peers/caller_directory.hpp>

namespace pollenstream::peers
{

namespace
{

auto ready_addresses( peer_group const& group,
                      std::string const& own_caller_address,
                      bool self_ready,
                      bool with_cut ) -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>{};
    if ( self_ready && ( with_cut || !group.is_cut_from_targets() ) )
        addresses.push_back( own_caller_address );
    for ( auto const& [id, p] : group.peers() )
    {
        if ( addresses.size() >= max_directory_addresses )
            break;
        if ( p.alive && p.ready && !p.leaving &&
             ( with_cut || !p.cut_from_targets ) )
            addresses.push_back( p.callers );
    }
    return addresses;
}

}

auto choose_caller_addresses( peer_group const& group,
                              std::string const& own_caller_address,
                              bool self_ready ) -> std::vector<std::string>
{
    auto addresses =
        ready_addresses( group, own_caller_address, self_ready, false );
    if ( addresses.empty() )
        addresses =
            ready_addresses( group, own_caller_address, self_ready, true );
    return addresses;
}

}
