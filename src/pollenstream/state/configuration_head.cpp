#include <pollenstream/state/configuration_head.hpp>

namespace pollenstream::state
{

auto configuration_head::find_change( change_id const& id ) const
    -> accepted_change const*
{
    for ( auto const& each : changes )
    {
        if ( each.id == id )
            return &each;
    }
    return nullptr;
}

auto document_key( std::string const& hash ) -> std::string
{
    return "config/document/" + hash;
}

}
