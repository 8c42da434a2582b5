#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/engine_model.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

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
/// A waiting request is refused this long before its caller would leave, so
/// that the caller still receives the Retry-After header.
constexpr auto refusal_margin = core::duration( 150ms );
/// Retry-After if this instance has no configuration yet.
constexpr auto retry_after_no_configuration = core::duration( 300ms );
/// Longest wait for the first configuration of this instance. The store answers
/// within 25 ms of a start, or within 200 ms when it is slow.
constexpr auto max_wait_for_configuration = core::duration( 400ms );
/// Retry-After when the process is about to end: callers find another instance
/// at once.
constexpr auto retry_after_stop = core::duration( 0ms );
/// Typical duration of a call and of a stream. A process that is about to end
/// admits only requests that should finish before it does.
constexpr auto typical_call_time = core::duration( 400ms );
constexpr auto typical_stream_time = core::duration( 2500ms );
constexpr auto status_unauthorized = 401;
constexpr auto status_not_found = 404;

}

exchange::exchange( exchange_context& context,
                    caller_request request,
                    std::shared_ptr<answer_channel> answer )
    : context_( context ), request_( std::move( request ) ),
      answer_( std::move( answer ) ), configuration_( context.configuration )
{
    context_.open.insert( this );
    auto& counters = context_.counters;
    ( request_.handed_over ? counters.taken_over : counters.requests ).add();
}

exchange::~exchange()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "exchange " + request_.id.str() +
                               " destroyed before it ended" );
    core::check_invariant( core::invariant::memory_is_returned,
                           !current_ && !silent_ && !pending_placement_,
                           "exchange " + request_.id.str() +
                               " destroyed with open work at targets" );
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

auto exchange::start() -> void
{
    run(
        [this]
        {
            start_or_wait();
        } );
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

auto exchange::order() const -> double
{
    return core::seconds_of( request_.received.time_since_epoch() );
}

/// When the caller leaves if it receives nothing more.
auto exchange::patience_end() const -> core::instant
{
    auto const silent_since = events_ > 0 ? last_event_at_ : request_.received;
    return std::min( deadline_, silent_since + patience_ );
}

auto exchange::refusal_deadline() const -> core::instant
{
    return patience_end() - refusal_margin;
}

auto exchange::needs_engine() const -> bool
{
    return service_->engine && demand_.prompt_tokens > 0;
}

/// True if other instances are told of the request's work. They need not know
/// of plain calls, except those that count against a target's rate limit.
auto exchange::is_announced() const -> bool
{
    return needs_engine() || is_coordinated_ || uses_limited_target_;
}

auto exchange::refresh_demand( core::instant now ) -> void
{
    demand_.waited = now - request_.received;
    demand_.time_left = deadline_ - now;
    demand_.patience_left = patience_end() - now;
    demand_.crashes = context_.crashes.count( suspect_of( content_ ) );
    demand_.paused.clear();
    for ( auto const& p : context_.loads.paused( demand_.service, now ) )
        demand_.paused.push_back( p.id );
    demand_.draw =
        std::uniform_real_distribution<double>( 0, 1 )( context_.random );
}

/// Chooses a target for a plain call. Only the active coordinator knows what
/// other instances send to targets with rate limits.
auto exchange::choose_locally( core::instant now ) -> placement_result
{
    auto demand = demand_;
    demand.only_to_probe_limits = true;
    demand.limits = context_.placements.is_active_coordinator()
                        ? limit_use::coordinated
                        : limit_use::uncoordinated;
    auto result = context_.chooser.choose( demand, *service_, now );
    if ( result.choice && demand.limits == limit_use::uncoordinated )
        context_.loads.note_uncoordinated( result.choice->parts, now );
    return result;
}

auto exchange::try_start() -> bool
{
    auto no_longer_waits = true;
    run(
        [&]
        {
            no_longer_waits = start_attempt();
        } );
    return no_longer_waits;
}

/// Starts an attempt or requests a placement. Returns true if the request no
/// longer waits in the queue.
auto exchange::start_attempt() -> bool
{
    if ( finished_ )
        return true;
    if ( !configuration_ )
        return try_admit();
    if ( current_ )
        return true;
    auto const now = context_.scheduler.now();
    if ( end_if_cut() || refuse_doubtful_handover() )
        return true;
    if ( now < not_before_ )
        return false;
    refresh_demand( now );
    // Only a coordinator decides which request is a trial of a quarantine.
    if ( needs_engine() || context_.crashes.is_quarantined( suspects_ ) )
    {
        is_coordinated_ = !needs_engine();
        request_placement();
        return true;
    }
    auto result = choose_locally( now );
    if ( result.choice )
    {
        stop_waiting();
        begin( { ++context_.last_serial, std::move( *result.choice ),
                 context_.self } );
        return true;
    }
    if ( result.reason == placement_obstacle::limited )
    {
        // The coordinator shares out the rate limits of targets.
        is_coordinated_ = true;
        request_placement();
        return true;
    }
    if ( result.reason == placement_obstacle::paused )
        return wait_for_pause( now );
    if ( result.reason == placement_obstacle::drained )
    {
        give_up( drained_reason, retry_after_drained );
        return true;
    }
    if ( route_->kind == request_kind::stream )
        return false;
    if ( !may_have_run_ && hand_over( "no_targets" ) )
        return true;
    // An earlier attempt may have run and left no other target: give_up() then
    // fails the request instead of refusing it.
    give_up( "no_targets", retry_after_no_target );
    return true;
}

/// Hands the request over, or ends it, if this instance reaches no target.
/// Returns true if so.
auto exchange::end_if_cut() -> bool
{
    if ( !context_.path.is_cut() )
        return false;
    if ( hand_over( cut_reason ) )
        return true;
    if ( streaming_ )
        return false;
    give_up( cut_reason, retry_after_cut );
    return true;
}

/// Another instance can take a request at once that this one may not be able
/// to send. Returns true if it was refused.
auto exchange::refuse_doubtful_handover() -> bool
{
    auto const is_doubtful = context_.path.state() != path_state::sound;
    if ( !request_.handed_over || !is_doubtful || targets_reached_ > 0 )
        return false;
    give_up( unreached_reason, retry_after_cut );
    return true;
}

auto exchange::release( std::uint64_t serial, work_outcome outcome ) -> void
{
    context_.loads.end_work( context_.self, serial, context_.scheduler.now() );
    if ( !is_announced() )
        return;
    context_.placements.release( serial );
    context_.announcer.work_ended( serial, outcome );
}

auto exchange::on_deadline() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    if ( may_have_run_ )
        return fail( status_gateway_timeout, "deadline" );
    refuse( status_unavailable, "deadline", retry_after_turned_away );
}

auto exchange::on_caller_gone() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    close_all();
    count_outcome( context_.counters.caller_gone );
    end( "caller_gone", 0 );
}

auto exchange::abandon( std::string reason ) -> void
{
    auto const keep = shared_from_this();
    if ( finished_ )
        return;
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    give_up( std::move( reason ), retry_after_stop );
}

auto exchange::is_held_back() const -> bool
{
    return !is_trial_ && context_.crashes.is_quarantined( suspects_ );
}

auto exchange::may_be_trial() const -> bool
{
    auto const next = context_.crashes.next_trial( suspects_ );
    return next && *next <= context_.scheduler.now();
}

auto exchange::end_as_quarantined() -> void
{
    auto const next = context_.crashes.next_trial( suspects_ );
    give_up( quarantined_reason,
             next ? retry_after_quarantined( *next - context_.scheduler.now() )
                  : std::nullopt );
}

auto exchange::on_quarantine_changed() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || route_ == nullptr || !is_held_back() )
        return;
    // It waits for the coordinator, which decides whether it is a trial.
    if ( !current_ && !silent_ && may_be_trial() )
        return;
    auto const runs = current_ && !current_->prefilling;
    if ( runs )
        return;
    // The silent attempt is past its prefill, the one that replaces it is not.
    if ( silent_ && !silent_->prefilling )
    {
        return_to_silent_target( quarantined_reason );
        return;
    }
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    end_as_quarantined();
}

auto exchange::on_cut_from_targets() -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || route_ == nullptr ||
         ( current_ && current_->is_handover ) || hand_over( cut_reason ) )
        return;
    if ( streaming_ || silent_ || may_have_run_ || sent_attempts() > 0 )
        return;
    close_all();
    give_up( cut_reason, retry_after_cut );
}

auto exchange::refuse( int status,
                       std::string reason,
                       std::optional<core::duration> retry_after ) -> void
{
    core::check_invariant( core::invariant::not_run_is_true, !may_have_run_,
                           "refused although it may have run: " +
                               request_.id.str() );
    auto answer = whole_answer{ status, {}, reason + "\n" };
    answer.headers.push_back( { "Content-Type", "text/plain" } );
    answer.closes_connection = context_.path.is_cut();
    answer.is_refused_here = is_own_state( reason );
    if ( retry_after )
        answer.headers.push_back( retry_after_header( *retry_after ) );
    auto const now = context_.scheduler.now();
    auto const* const quarantine =
        context_.crashes.find_quarantine( suspects_ );
    context_.log.record( request_refused{
        request_.id, content_, workspace_, status,
        route_ != nullptr ? route_->id.str() : "", reason,
        now - request_.received, retry_after.value_or( core::duration( 0 ) ),
        configuration_ ? configuration_->version : core::revision{},
        demand_.prompt_tokens, context_.queue.size(),
        quarantine != nullptr ? *quarantine : suspect_list{},
        handed_over_by() } );
    close_all();
    answer_->send_whole( std::move( answer ) );
    count_outcome( context_.counters.refused );
    end( std::move( reason ), status );
}

auto exchange::fail( int status, std::string reason ) -> void
{
    close_all();
    if ( streaming_ )
        answer_->abort();
    else
        answer_->send_whole(
            { status, { { "Content-Type", "text/plain" } }, reason + "\n" } );
    count_outcome( context_.counters.failed );
    end( std::move( reason ), status );
}

auto exchange::call_after( core::duration delay, void ( exchange::*handler )() )
    -> std::unique_ptr<ports::scheduled_call>
{
    return context_.scheduler.call_after( delay,
                                          [this, handler]
                                          {
                                              run(
                                                  [this, handler]
                                                  {
                                                      ( this->*handler )();
                                                  } );
                                          } );
}

/// A handler has thrown, so the state of this request cannot be relied on. A
/// target may have processed it.
auto exchange::on_internal_error( std::string what ) -> void
{
    context_.log.record( state_change{
        "request", request_.id.str(), "broken", std::move( what ), {} } );
    context_.counters.internal_errors.add();
    if ( !finished_ )
        fail( status_bad_gateway, "internal_error" );
}

auto exchange::give_up( std::string reason,
                        std::optional<core::duration> retry_after ) -> void
{
    if ( return_to_silent_target( reason ) )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, std::move( reason ) );
    refuse( status_unavailable, std::move( reason ), retry_after );
}

auto exchange::end( std::string outcome, int status ) -> void
{
    finished_ = true;
    deadline_timer_.reset();
    cancel_placement();
    silence_timer_.reset();
    context_.open.erase( this );
    context_.log.record( request_ended{
        request_.id, content_, workspace_,
        route_ != nullptr ? route_->id.str() : "", std::move( outcome ), status,
        last_target_, context_.scheduler.now() - request_.received,
        first_event_, longest_gap_, events_, targets_reached_,
        demand_.prompt_tokens, demand_.latency_objective, demand_.gap_objective,
        configuration_ ? configuration_->version : core::revision{},
        context_.configuration ? context_.configuration->version
                               : core::revision{},
        handed_over_by() } );
}

auto exchange::handed_over_by() const -> core::instance_id
{
    return request_.handed_over ? request_.handed_over->from
                                : core::instance_id{};
}

auto exchange::count_outcome( core::counter& outcome ) -> void
{
    if ( !request_.handed_over )
        outcome.add();
}

}
