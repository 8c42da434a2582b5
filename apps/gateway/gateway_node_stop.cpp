#include "gateway_node.hpp"
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

// The planned stop of `gateway_node`.

namespace pollenstream::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr auto stop_check_period = core::duration( 100ms );
/// Some callers keep an answer for three times its time to live.
constexpr auto caller_ttl_factor = 3;
/// Allowance for delays in receiving the stop signal and in reading a request.
constexpr auto stop_detection_delay = core::duration( 250ms );
/// Part of the grace period that is left unused, so that the process ends
/// before the platform kills it.
constexpr auto stop_margin = core::duration( 650ms );
/// Time for sending the last answers and reservation calls before the process
/// ends.
constexpr auto final_send_time = core::duration( 150ms );

}

auto gateway_node::stop() -> void
{
    if ( std::exchange( stopping_, true ) )
        return;
    record_process( "stopping", "signal" );
    if ( !has_begun_ )
        return end_process( "not started" );
    note_readiness();
    auto const now = scheduler_.now();
    auto const directory_expired_at = now + directory_ttl * caller_ttl_factor;
    context_.stop =
        exchange::planned_stop{ directory_expired_at - stop_detection_delay,
                                now + settings_.grace_period - stop_margin };
    group_.announce_leaving();
    callers_->begin_drain();
    peer_listener_->begin_drain();
    callers_left_at_ = directory_expired_at + 500ms;
    check_stopped();
}

/// Ends the process once callers have had time to notice the stop and no
/// request is open, or when the grace period is over.
auto gateway_node::check_stopped() -> void
{
    auto const now = scheduler_.now();
    if ( now >= callers_left_at_ )
        close_idle_connections();
    auto const is_idle = context_.open.empty() &&
                         callers_->connections() == 0 &&
                         peer_listener_->connections() == 0;
    if ( now >= callers_left_at_ && is_idle )
        return end_process( "idle" );
    if ( now >= context_.stop->ends_at )
        return abandon_open();
    stop_call_ = scheduler_.call_after( stop_check_period,
                                        [this]
                                        {
                                            auto const done =
                                                std::move( stop_call_ );
                                            check_stopped();
                                        } );
}

/// Also those of other instances, which may have handed requests over.
auto gateway_node::close_idle_connections() -> void
{
    callers_->close_idle();
    peer_listener_->close_idle();
}

/// Abandons the open requests, so that callers are notified and reserved memory
/// at targets is released, and leaves time to send the calls for this.
auto gateway_node::abandon_open() -> void
{
    auto const open = std::vector( context_.open.begin(), context_.open.end() );
    for ( auto* const open_exchange : open )
        open_exchange->abandon( exchange::process_ends_reason );
    stop_call_ = scheduler_.call_after( final_send_time,
                                        [this]
                                        {
                                            end_process( "out of time" );
                                        } );
}

auto gateway_node::end_process( std::string because ) -> void
{
    record_process( "stopped", std::move( because ) );
    io_.stop();
}

}
