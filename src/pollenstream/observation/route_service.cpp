#include <pollenstream/observation/route_service.hpp>

#include <utility>
#include <variant>

namespace pollenstream::observation
{

namespace
{

auto describe( std::map<std::string, std::uint64_t> const& not_served )
    -> std::string
{
    auto text = std::string{};
    for ( auto const& [reason, count] : not_served )
    {
        text += text.empty() ? "" : " ";
        text += reason + ':' + std::to_string( count );
    }
    return text;
}

}

route_service::route_service( exchange::event_log& next,
                              ports::scheduler& scheduler )
    : next_log_( next ), scheduler_( scheduler )
{
}

auto route_service::record( exchange::event const& what ) -> void
{
    next_log_.record( what );
    if ( auto const* const ended =
             std::get_if<exchange::request_ended>( &what ) )
        on_ended( *ended );
}

auto route_service::on_ended( exchange::request_ended const& e ) -> void
{
    if ( !e.handed_over_by.empty() )
        return;
    auto* const start = start_of( e.route );
    if ( start == nullptr || start->is_served )
        return;
    if ( e.outcome == "served" )
    {
        start->is_served = true;
        record_state( e.route, *start, "serving" );
        start->not_served.clear();
        return;
    }
    ++start->not_served[e.outcome];
    auto const is_late = scheduler_.now() - start->first_request > patience;
    if ( is_late && !std::exchange( start->is_overdue, true ) )
        record_state( e.route, *start, "not_serving" );
}

auto route_service::start_of( std::string const& route ) -> route_start*
{
    if ( route.empty() )
        return nullptr;
    auto const found = routes_.find( route );
    if ( found != routes_.end() )
        return &found->second;
    if ( routes_.size() >= max_routes )
        return nullptr;
    auto& added = routes_[route];
    added.first_request = scheduler_.now();
    return &added;
}

auto route_service::record_state( std::string const& route,
                                  route_start const& start,
                                  std::string now ) -> void
{
    next_log_.record( exchange::state_change{
        "route", route, std::move( now ), describe( start.not_served ),
        scheduler_.now() - start.first_request } );
}

}
