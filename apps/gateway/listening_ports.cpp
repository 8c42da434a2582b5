#include "listening_ports.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr auto retry_period = core::duration( 100ms );

}

listening_ports::listening_ports( ports::scheduler& scheduler,
                                  exchange::event_log& log )
    : scheduler_( scheduler ), log_( log )
{
}

auto listening_ports::add( listening_port port ) -> void
{
    ports_.push_back( { std::move( port ), false, {} } );
}

auto listening_ports::open_all() -> void
{
    started_ = scheduler_.now();
    try_all();
    if ( waiting().empty() )
        return;
    retry_.emplace( scheduler_, retry_period,
                    [this]
                    {
                        try_all();
                    } );
    retry_->start_later();
}

auto listening_ports::try_all() -> void
{
    for ( auto& state : ports_ )
        if ( !state.is_open )
            try_one( state );
    if ( on_required_open && !is_required_missing() )
        std::exchange( on_required_open, nullptr )();
}

auto listening_ports::try_one( port_state& state ) -> void
{
    auto const reason = state.port.open();
    state.is_open = !reason;
    if ( reason && *reason != state.reason )
        record( state, "waiting", *reason );
    if ( !reason && !state.reason.empty() )
        record( state, "open", "it was " + state.reason );
    state.reason = reason.value_or( "" );
}

auto listening_ports::record( port_state const& state,
                              std::string now,
                              std::string because ) -> void
{
    log_.record( exchange::state_change{
        "port", state.port.name, std::move( now ),
        core::to_string( state.port.address ) + ": " + std::move( because ),
        scheduler_.now() - started_ } );
}

auto listening_ports::is_required_missing() const -> bool
{
    return std::any_of( ports_.begin(), ports_.end(),
                        []( auto const& state )
                        {
                            return state.port.is_required && !state.is_open;
                        } );
}

auto listening_ports::waiting() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for ( auto const& state : ports_ )
        if ( !state.is_open )
            names.push_back( state.port.name );
    return names;
}

}
