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

/// A waiting request is refused this long before its caller would leave, so
/// that the caller still receives the Retry-After header.
constexpr auto refusal_margin = core::duration( 150ms );

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

auto exchange::start() -> void
{
    run(
        [this]
        {
            start_or_wait();
        } );
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

}
