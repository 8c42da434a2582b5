#include <pollenstream/observation/first_service.hpp>

#include <utility>
#include <variant>

namespace pollenstream::observation
{

namespace
{

auto name_of( start_stage stage ) -> char const*
{
    switch ( stage )
    {
    case start_stage::configuration:
        return "configuration";
    case start_stage::targets:
        return "targets";
    case start_stage::request:
        return "request";
    case start_stage::placed:
    case start_stage::number_of_stages:
        break;
    }
    return "placed";
}

}

first_service::first_service( exchange::event_log& next,
                              ports::scheduler& scheduler,
                              core::instance_id self )
    : next_log_( next ), scheduler_( scheduler ), self_( std::move( self ) ),
      started_( scheduler.now() )
{
}

auto first_service::record( exchange::event const& what ) -> void
{
    next_log_.record( what );
    if ( served_after_ )
        return;
    std::visit(
        [this]( auto const& e )
        {
            see( e );
        },
        what );
}

auto first_service::note( start_stage stage ) -> void
{
    auto& reached = reached_after_.at( static_cast<std::size_t>( stage ) );
    if ( !reached )
        reached = age();
}

auto first_service::see( exchange::request_refused const& e ) -> void
{
    note( start_stage::request );
    ++refused_[e.reason];
    if ( age() > patience && !std::exchange( is_overdue_, true ) )
        record_state( "not_serving" );
}

auto first_service::see( exchange::request_placed const& /*e*/ ) -> void
{
    note( start_stage::request );
    note( start_stage::placed );
}

auto first_service::see( exchange::request_ended const& e ) -> void
{
    note( start_stage::request );
    if ( e.outcome != "served" )
        return;
    served_after_ = age();
    record_state( "serving" );
}

auto first_service::record_state( std::string now ) -> void
{
    next_log_.record( exchange::state_change{
        "process", self_.str(), std::move( now ), describe(), age() } );
}

auto first_service::describe() const -> std::string
{
    auto text = std::string{};
    for ( auto i = std::size_t{ 0 }; i < reached_after_.size(); ++i )
    {
        auto const& reached = reached_after_.at( i );
        text += text.empty() ? "" : " ";
        text += name_of( static_cast<start_stage>( i ) );
        text += ':';
        text += reached ? std::to_string( core::milliseconds_of( *reached ) )
                        : "never";
    }
    for ( auto const& [reason, count] : refused_ )
        text += " refused_" + reason + ':' + std::to_string( count );
    return text;
}

}
