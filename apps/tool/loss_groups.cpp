#include "loss_groups.hpp"

#include <algorithm>

namespace apps::tool
{

namespace
{

auto name_for( std::optional<std::string> const& key_value ) -> std::string
{
    if ( !key_value )
        return loss_groups::unknown;
    return key_value->empty() ? loss_groups::none : *key_value;
}

}

auto loss_key_of( std::string const& name ) -> std::optional<loss_key>
{
    if ( name == "workspace" )
        return loss_key::workspace;
    if ( name == "data-centre" )
        return loss_key::data_centre;
    if ( name == "kind" )
        return loss_key::kind;
    return std::nullopt;
}

auto field_of( loss_key key ) -> char const*
{
    switch ( key )
    {
    case loss_key::workspace:
        return "workspace";
    case loss_key::data_centre:
        return "place";
    case loss_key::kind:
        break;
    }
    return "route";
}

auto loss_groups::add( std::optional<std::string> const& key_value,
                       double weight,
                       std::optional<loss_cause> lost ) -> void
{
    auto name = name_for( key_value );
    if ( groups_.size() >= max_groups && groups_.count( name ) == 0 )
        name = others;
    auto& group = groups_[name];
    group.name = name;
    group.all.add( weight );
    if ( !lost )
        return;
    group.lost.add( weight );
    group.by_cause.at( static_cast<std::size_t>( *lost ) ).add( weight );
}

auto loss_groups::by_lost_weight() const -> std::vector<loss_group>
{
    auto sorted = std::vector<loss_group>{};
    for ( auto const& [name, group] : groups_ )
        sorted.push_back( group );
    std::sort( sorted.begin(), sorted.end(),
               []( auto const& a, auto const& b )
               {
                   return a.lost.weight != b.lost.weight
                              ? a.lost.weight > b.lost.weight
                              : a.name < b.name;
               } );
    return sorted;
}

}
