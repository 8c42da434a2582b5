#include <pollenstream/exchange/routes.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

auto route_configuration::add_workspace( workspace_settings settings,
                                         std::vector<std::string> const& keys )
    -> void
{
    for ( auto const& key : keys )
        by_key_[key] = workspaces_.size();
    workspaces_.push_back( std::move( settings ) );
}

auto route_configuration::index_routes() -> void
{
    by_host_.clear();
    index_gap_objectives();
    for ( auto i = std::size_t{ 0 }; i < routes.size(); ++i )
        by_host_[routes[i].host].push_back( i );
    for ( auto& [host, indexes] : by_host_ )
        std::sort( indexes.begin(), indexes.end(),
                   [this]( auto a, auto b )
                   {
                       return routes[a].prefix.size() > routes[b].prefix.size();
                   } );
}

auto route_configuration::index_gap_objectives() -> void
{
    min_gap_objective_.clear();
    for ( auto const& r : routes )
    {
        if ( r.kind != request_kind::stream )
            continue;
        for ( auto const& s : r.services )
        {
            auto const entry =
                min_gap_objective_.try_emplace( s.service, r.gap_objective )
                    .first;
            entry->second = std::min( entry->second, r.gap_objective );
        }
    }
}

auto route_configuration::find_route( std::string_view host,
                                      std::string_view target ) const
    -> route const*
{
    auto const path = target.substr( 0, target.find( '?' ) );
    auto const found = by_host_.find( std::string( host ) );
    if ( found == by_host_.end() )
        return nullptr;
    for ( auto const index : found->second )
        if ( path.starts_with( routes[index].prefix ) )
            return &routes[index];
    return nullptr;
}

auto route_configuration::find_workspace( std::string const& key ) const
    -> workspace_settings const*
{
    auto const found = by_key_.find( key );
    return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

auto route_configuration::needs_key( route const& which ) const -> bool
{
    return needs_keys && !which.is_public;
}

auto route_configuration::admits( std::string_view host,
                                  std::string_view target,
                                  std::string const& key ) const -> bool
{
    auto const* const found = find_route( host, target );
    return found != nullptr &&
           ( !needs_key( *found ) || find_workspace( key ) != nullptr );
}

auto route_configuration::min_gap_objective( core::service_id const& id ) const
    -> core::duration
{
    auto const found = min_gap_objective_.find( id );
    return found == min_gap_objective_.end() ? core::duration( 0 )
                                             : found->second;
}

auto route_configuration::warm_up_rates() const
    -> std::unordered_map<core::service_id, double>
{
    auto rates = std::unordered_map<core::service_id, double>{};
    for ( auto const& [id, settings] : services )
        if ( settings.warm_up_rate )
            rates.emplace( id, *settings.warm_up_rate );
    return rates;
}

auto route_configuration::engine_models() const
    -> std::unordered_map<core::service_id, engine_speed>
{
    auto models = std::unordered_map<core::service_id, engine_speed>{};
    for ( auto const& [id, settings] : services )
        if ( settings.engine )
            models.emplace( id, *settings.engine );
    return models;
}

auto route_configuration::find_service( core::service_id const& id ) const
    -> service_settings const*
{
    auto const found = services.find( id );
    return found == services.end() ? nullptr : &found->second;
}

}
