#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>

// Member functions of exchange that apply the configuration to a new request,
// or refuse it.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Callers of streams leave after a silence as long as the largest of these: a
/// fixed time and multiples of the route's two objectives. The platform defines
/// them.
constexpr auto min_patience = core::duration( 2s );
constexpr auto patience_per_latency = 4;
constexpr auto patience_per_gap = 8;
/// Retry-After if this instance has no configuration yet.
constexpr auto retry_after_no_configuration = core::duration( 300ms );
/// Longest wait for the first configuration of this instance. The store answers
/// within 25 ms of a start, or within 200 ms when it is slow.
constexpr auto max_wait_for_configuration = core::duration( 400ms );
/// Typical duration of a call and of a stream. A process that is about to end
/// admits only requests that should finish before it does.
constexpr auto typical_call_time = core::duration( 400ms );
constexpr auto typical_stream_time = core::duration( 2500ms );
constexpr auto status_unauthorized = 401;
constexpr auto status_not_found = 404;

}

auto exchange::find_route() -> bool
{
    route_ = configuration_->find_route( request_.host, request_.target );
    if ( route_ == nullptr )
    {
        refuse( status_not_found, "no_route", std::nullopt );
        return false;
    }
    priority_ = route_->priority;
    if ( !configuration_->needs_key( *route_ ) )
        return true;
    auto const workspace = configuration_->find_workspace( request_.key );
    if ( workspace == nullptr )
    {
        refuse( status_unauthorized, "unknown_key", std::nullopt );
        return false;
    }
    workspace_ = workspace->id;
    priority_ = workspace->priority.value_or( priority_ );
    return true;
}

auto exchange::pick_service() -> void
{
    auto total = 0.0;
    for ( auto const& s : route_->services )
        total += s.weight;
    auto drawn =
        std::uniform_real_distribution<double>( 0, total )( context_.random );
    for ( auto const& s : route_->services )
    {
        demand_.service = s.service;
        drawn -= s.weight;
        if ( drawn < 0 )
            break;
    }
    service_ = configuration_->find_service( demand_.service );
}

auto exchange::set_deadlines() -> void
{
    deadline_ = request_.received + time_limit();
    patience_ = std::max( { min_patience,
                            route_->latency_objective * patience_per_latency,
                            route_->gap_objective * patience_per_gap } );
    auto const left = deadline_ - context_.scheduler.now();
    deadline_timer_ = call_after( left, &exchange::on_deadline );
}

auto exchange::start_or_wait() -> void
{
    if ( !configuration_ )
        return wait_for_configuration();
    admit();
    if ( !finished_ && !try_start() )
        wait_in_queue();
}

/// Callers connect to a new instance before it has read the configuration. A
/// refusal would use up one of the caller's few attempts, so the request waits.
auto exchange::wait_for_configuration() -> void
{
    context_.queue.add( shared_from_this() );
    patience_timer_ = call_after( max_wait_for_configuration,
                                  &exchange::on_no_configuration );
}

auto exchange::on_no_configuration() -> void
{
    refuse( status_unavailable, no_configuration_reason,
            retry_after_no_configuration );
}

auto exchange::time_limit() const -> core::duration
{
    return std::min( request_.time_limit.value_or( route_->timeout ),
                     route_->timeout );
}

/// True if the request may still be running when the process ends. Until all
/// callers know of the stop, the typical duration is assumed. After that
/// callers have other instances to use, so the full time limit must fit: no
/// request that was admitted may be cut off.
auto exchange::may_outlast_stop( core::instant now ) const -> bool
{
    if ( !context_.stop )
        return false;
    auto const typical = route_->kind == request_kind::stream
                             ? typical_stream_time
                             : typical_call_time;
    auto const callers_informed = now >= context_.stop->callers_know_at;
    auto const needed =
        callers_informed ? time_limit() : std::min( typical, time_limit() );
    return now + needed > context_.stop->ends_at;
}

/// Applies the configuration to the request, or refuses it.
auto exchange::admit() -> void
{
    if ( !find_route() )
        return;
    content_ = content_of( request_, workspace_ );
    suspects_ = suspects_of( content_, shared_parts() );
    if ( is_held_back() && !may_be_trial() )
        return end_as_quarantined();
    pick_service();
    if ( service_ == nullptr )
        return refuse( status_unavailable, "unknown_service",
                       retry_after_no_target );
    auto const now = context_.scheduler.now();
    if ( may_outlast_stop( now ) )
        return refuse( status_unavailable, stopping_reason, retry_after_stop );
    set_deadlines();
    demand_.latency_objective = route_->latency_objective;
    lateness_ = scheduling::lateness_watch( route_->latency_objective );
    demand_.gap_objective = route_->gap_objective;
    demand_.min_gap_objective =
        configuration_->min_gap_objective( demand_.service );
    if ( request_.prompt )
    {
        demand_.prompt_tokens = request_.prompt->prompt_tokens;
        demand_.output_tokens = request_.prompt->max_output_tokens;
    }
    is_split_ =
        service_->engine && is_split_prompt( *service_->engine, demand_ );
    last_event_ = request_.last_event;
    // The instance of its caller has counted it already.
    if ( !request_.handed_over )
        context_.retries.note_request( demand_.service, now );
}

/// Admits the request once the configuration is known. Returns true if the
/// request no longer waits.
auto exchange::try_admit() -> bool
{
    configuration_ = context_.configuration;
    if ( !configuration_ )
        return false;
    patience_timer_.reset();
    admit();
    if ( finished_ || try_start() )
        return true;
    begin_waiting();
    return false;
}

}
