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

/// Callers of streams leave after a gap of the longest of these: a fixed time,
/// and multiples of the two objectives (the platform's page on requests).
constexpr auto shortest_patience = core::duration( 2s );
constexpr auto patience_per_latency = 4;
constexpr auto patience_per_gap = 8;
/// A request that waits is refused this much before its caller would leave,
/// so that the caller hears when to come back.
constexpr auto refusal_margin = core::duration( 150ms );
/// Retry-After where no configuration is known, or the process is about to end
/// and callers find another instance at once.
constexpr auto retry_after_no_configuration = core::duration( 300ms );
/// How long a request waits for the first configuration of its instance: the
/// store answers within 25 ms of a start, and within 200 ms where it is slow.
constexpr auto longest_wait_for_configuration = core::duration( 400ms );
constexpr auto retry_after_stop = core::duration( 0ms );
/// What a call and a stream take as a rule; a process that is about to end
/// admits only what fits in.
constexpr auto usual_call_time = core::duration( 400ms );
constexpr auto usual_stream_time = core::duration( 2500ms );
constexpr auto status_unauthorized = 401;
constexpr auto status_not_found = 404;

auto retry_after_header( core::duration d ) -> header_field
{
    auto text = std::to_string( core::seconds_of( d ) );
    constexpr auto digits = std::size_t{ 4 };
    return { "Retry-After", text.substr( 0, text.find( '.' ) + digits ) };
}

}

exchange::exchange( exchange_context& shared,
                    caller_request request,
                    std::shared_ptr<answer_channel> answer )
    : shared_( shared ), request_( std::move( request ) ),
      answer_( std::move( answer ) ), configuration_( shared.configuration )
{
    shared_.open.insert( this );
    shared_.counters.requests.add();
}

exchange::~exchange()
{
    core::check_invariant( core::invariant::ends_in_time, finished_,
                           "exchange " + request_.id.str() + " dropped open" );
    core::check_invariant( core::invariant::memory_is_returned,
                           !current_ && !silent_ && !ask_,
                           "exchange " + request_.id.str() + " kept work" );
}

auto exchange::find_route() -> bool
{
    auto const path = std::string_view( request_.target )
                          .substr( 0, request_.target.find( '?' ) );
    route_ = configuration_->find_route( request_.host, path );
    if ( route_ == nullptr )
    {
        refuse( status_not_found, "no_route", std::nullopt );
        return false;
    }
    priority_ = route_->priority;
    if ( !configuration_->needs_keys || route_->is_public )
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
        std::uniform_real_distribution<double>( 0, total )( shared_.random );
    for ( auto const& s : route_->services )
    {
        demand_.service = s.service;
        drawn -= s.weight;
        if ( drawn < 0 )
            break;
    }
    service_ = configuration_->find_service( demand_.service );
}

auto exchange::set_times() -> void
{
    deadline_ = request_.received + time_limit();
    patience_ = std::max( { shortest_patience,
                            route_->latency_objective * patience_per_latency,
                            route_->gap_objective * patience_per_gap } );
    auto const left = deadline_ - shared_.scheduler.now();
    deadline_call_ = shared_.scheduler.call_after( left,
                                                   [this]
                                                   {
                                                       on_deadline();
                                                   } );
}

auto exchange::start() -> void
{
    if ( !configuration_ )
        return wait_for_configuration();
    admit();
    if ( !finished_ && !try_start() )
        wait_for_room();
}

/// A fresh instance is connected to before it has read the configuration. A
/// refusal then would cost the caller one of its few tries.
auto exchange::wait_for_configuration() -> void
{
    shared_.queue.add( shared_from_this() );
    patience_call_ = shared_.scheduler.call_after(
        longest_wait_for_configuration,
        [this]
        {
            auto const keep = shared_from_this();
            refuse( status_unavailable, "no_configuration",
                    retry_after_no_configuration );
        } );
}

auto exchange::time_limit() const -> core::duration
{
    return std::min( request_.time_limit.value_or( route_->timeout ),
                     route_->timeout );
}

/// What comes while callers hear of the stop is taken in where it usually fits
/// in; what comes later has other instances to go to and must not be cut.
auto exchange::may_outlast_stop( core::instant now ) const -> bool
{
    if ( !shared_.stop )
        return false;
    auto const usual = route_->kind == request_kind::stream ? usual_stream_time
                                                            : usual_call_time;
    auto const callers_know = now >= shared_.stop->callers_know_at;
    auto const needed =
        callers_know ? time_limit() : std::min( usual, time_limit() );
    return now + needed > shared_.stop->ends_at;
}

/// Finds what the configuration says of the request, or refuses it.
auto exchange::admit() -> void
{
    if ( !find_route() )
        return;
    content_ = content_of( request_, workspace_ );
    if ( is_quarantined() )
        return end_quarantined();
    pick_service();
    if ( service_ == nullptr )
        return refuse( status_unavailable, "unknown_service",
                       retry_after_no_target );
    auto const now = shared_.scheduler.now();
    if ( may_outlast_stop( now ) )
        return refuse( status_unavailable, "stopping", retry_after_stop );
    set_times();
    demand_.latency_objective = route_->latency_objective;
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
    shared_.retries.note_request( demand_.service, now );
}

/// True once the configuration is there and the request does not wait any more.
auto exchange::try_admit() -> bool
{
    configuration_ = shared_.configuration;
    if ( !configuration_ )
        return false;
    patience_call_.reset();
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

/// When the caller leaves if nothing more comes.
auto exchange::patience_until() const -> core::instant
{
    auto const silent_since = events_ > 0 ? last_event_at_ : request_.received;
    return std::min( deadline_, silent_since + patience_ );
}

auto exchange::refused_at() const -> core::instant
{
    return patience_until() - refusal_margin;
}

auto exchange::needs_engine() const -> bool
{
    return service_->engine && demand_.prompt_tokens > 0;
}

/// Of plain calls nobody else needs to know, but for those that spend a
/// target's limit.
auto exchange::is_told_to_others() const -> bool
{
    return needs_engine() || is_asked_for_ || spends_limit_;
}

auto exchange::refresh_demand( core::instant now ) -> void
{
    demand_.waited = now - request_.received;
    demand_.time_left = deadline_ - now;
    demand_.patience_left = patience_until() - now;
    demand_.crashes = shared_.crashes.count( content_ );
    demand_.paused.clear();
    for ( auto const& p : shared_.loads.paused( demand_.service, now ) )
        demand_.paused.push_back( p.id );
    demand_.draw =
        std::uniform_real_distribution<double>( 0, 1 )( shared_.random );
}

/// For a plain call. Only who places for all knows what others send to targets
/// with limits.
auto exchange::choose_here( core::instant now ) -> placement_result
{
    auto demand = demand_;
    demand.only_to_probe_limits = true;
    demand.limits = shared_.placements.is_active_coordinator()
                        ? limit_use::coordinated
                        : limit_use::uncoordinated;
    auto result = shared_.chooser.choose( demand, *service_, now );
    if ( result.choice && demand.limits == limit_use::uncoordinated )
        shared_.loads.note_uncoordinated( result.choice->parts, now );
    return result;
}

auto exchange::try_start() -> bool
{
    if ( finished_ )
        return true;
    if ( !configuration_ )
        return try_admit();
    if ( current_ )
        return true;
    auto const now = shared_.scheduler.now();
    if ( now < not_before_ )
        return false;
    refresh_demand( now );
    if ( needs_engine() )
    {
        ask_for_targets();
        return true;
    }
    auto result = choose_here( now );
    if ( result.choice )
    {
        stop_waiting();
        begin( { ++shared_.last_serial, std::move( *result.choice ),
                 shared_.self } );
        return true;
    }
    if ( result.reason == placement_obstacle::limited )
    {
        // Who places prompts hands out what such targets take.
        is_asked_for_ = true;
        ask_for_targets();
        return true;
    }
    if ( result.reason == placement_obstacle::paused )
        return wait_for_pause( now );
    if ( route_->kind == request_kind::stream )
        return false;
    // After a try that may have run there may be no other target left.
    turn_down( "no_targets", retry_after_no_target );
    return true;
}

auto exchange::release( std::uint64_t serial, work_outcome outcome ) -> void
{
    shared_.loads.end_work( shared_.self, serial, shared_.scheduler.now() );
    if ( !is_told_to_others() )
        return;
    shared_.placements.release( serial );
    shared_.announcer.work_ended( serial, outcome );
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
    shared_.counters.abandoned.add();
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
    turn_down( std::move( reason ), retry_after_stop );
}

auto exchange::is_quarantined() const -> bool
{
    return shared_.crashes.is_quarantined( content_ );
}

/// Without a time to come back: it would be refused again.
auto exchange::end_quarantined() -> void
{
    turn_down( quarantined_reason, std::nullopt );
}

auto exchange::on_quarantined( content_id content ) -> void
{
    auto const keep = shared_from_this();
    if ( finished_ || route_ == nullptr || content != content_ )
        return;
    auto const runs = current_ && !current_->prefilling;
    if ( runs )
        return;
    // The silent run is past its beginning; what is sought beside it is not.
    if ( silent_ && !silent_->prefilling )
    {
        go_back( quarantined_reason );
        return;
    }
    if ( current_ && current_->call && current_->call->sent() )
        may_have_run_ = true;
    close_all();
    end_quarantined();
}

auto exchange::refuse( int status,
                       std::string reason,
                       std::optional<core::duration> retry_after ) -> void
{
    core::check_invariant( core::invariant::not_run_is_true, !may_have_run_,
                           "refusal of " + request_.id.str() );
    auto answer = whole_answer{ status, {}, reason + "\n" };
    answer.headers.push_back( { "Content-Type", "text/plain" } );
    if ( retry_after )
        answer.headers.push_back( retry_after_header( *retry_after ) );
    auto const now = shared_.scheduler.now();
    shared_.log.record( request_refused{
        request_.id, content_, status,
        route_ != nullptr ? route_->id.str() : "", reason,
        now - request_.received, retry_after.value_or( core::duration( 0 ) ),
        configuration_ ? configuration_->version : core::revision{},
        demand_.prompt_tokens, shared_.queue.size() } );
    close_all();
    answer_->send_whole( std::move( answer ) );
    shared_.counters.refused.add();
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
    shared_.counters.failed.add();
    end( std::move( reason ), status );
}

auto exchange::turn_down( std::string reason,
                          std::optional<core::duration> retry_after ) -> void
{
    if ( go_back( reason ) )
        return;
    if ( may_have_run_ )
        return fail( status_bad_gateway, std::move( reason ) );
    refuse( status_unavailable, std::move( reason ), retry_after );
}

auto exchange::end( std::string outcome, int status ) -> void
{
    finished_ = true;
    deadline_call_.reset();
    stop_looking();
    watch_call_.reset();
    shared_.open.erase( this );
    shared_.log.record( request_ended{
        request_.id, content_, route_ != nullptr ? route_->id.str() : "",
        std::move( outcome ), status, last_target_,
        shared_.scheduler.now() - request_.received, first_event_, longest_gap_,
        events_, targets_reached_, demand_.prompt_tokens,
        demand_.latency_objective, demand_.gap_objective,
        configuration_ ? configuration_->version : core::revision{},
        shared_.configuration ? shared_.configuration->version
                              : core::revision{} } );
}

}
