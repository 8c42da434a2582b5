#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// Member functions of exchange that hand the request over to an instance that
// reaches targets, where this one reaches none, and relay its answer.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Bounds the instances that one request is handed over to, one after another.
constexpr auto max_instances_asked = std::size_t{ 6 };
/// A handover is not worthwhile with less time than this to the deadline.
constexpr auto min_time_for_handover = core::duration( 40ms );
/// The other instance ends this much earlier, so that its answer arrives.
constexpr auto handover_transit_time = core::duration( 10ms );
/// Pause of a stream that has begun before it tries targets here again.
constexpr auto pause_after_handover = core::duration( 250ms );

}

/// Open attempts at targets, which a handover closes.
auto exchange::open_attempts() const -> std::int64_t
{
    return ( current_ ? 1 : 0 ) + ( silent_ ? 1 : 0 );
}

/// Of the open attempts, those whose targets may have received the request.
auto exchange::sent_attempts() const -> std::int64_t
{
    auto const count = []( auto const& which )
    {
        return which && which->call && which->call->sent() ? 1 : 0;
    };
    return count( current_ ) + count( silent_ );
}

/// Takes the open attempts back that have not been sent, and counts the others
/// as cut off.
auto exchange::leave_open_attempts() -> void
{
    for ( auto const* const which : { &current_, &silent_ } )
    {
        if ( !*which )
            continue;
        if ( ( *which )->call && ( *which )->call->sent() )
        {
            may_have_run_ = true;
            ++targets_cut_off_;
            continue;
        }
        --targets_reached_;
        if ( ( *which )->is_retry )
            context_.retries.give_back( demand_.service );
    }
    close_all();
}

/// Targets that count against the route's number. Those that were cut off with
/// this instance do not.
auto exchange::targets_counted() const -> std::int64_t
{
    return targets_reached_ - targets_cut_off_;
}

auto exchange::max_targets() const -> std::int64_t
{
    auto const& origin = request_.handed_over;
    return origin ? std::min( route_->max_targets, origin->max_targets )
                  : route_->max_targets;
}

auto exchange::may_hand_over() const -> bool
{
    if ( context_.handovers == nullptr || request_.handed_over ||
         asked_instances_.size() >= max_instances_asked )
        return false;
    auto const may_run =
        route_->is_idempotent() || ( !may_have_run_ && sent_attempts() == 0 );
    if ( !may_run || is_trial_ || is_held_back() )
        return false;
    return targets_counted() - open_attempts() < route_->max_targets &&
           deadline_ - context_.scheduler.now() > min_time_for_handover;
}

auto exchange::hand_over( std::string const& because ) -> bool
{
    if ( !may_hand_over() )
        return false;
    auto const to = context_.handovers->choose( asked_instances_ );
    if ( !to || !has_retry_for_handover() )
        return false;
    leave_open_attempts();
    cancel_placement();
    take_retry_for_handover();
    begin_handover( *to, because );
    return true;
}

/// A request that no target has received needs no retry.
auto exchange::has_retry_for_handover() const -> bool
{
    auto const unsent = open_attempts() - sent_attempts();
    return targets_reached_ == unsent ||
           context_.retries.can_take( demand_.service,
                                      context_.scheduler.now() );
}

auto exchange::take_retry_for_handover() -> void
{
    if ( targets_reached_ == 0 )
        return;
    context_.retries.take( demand_.service, context_.scheduler.now() );
    context_.counters.retries.add();
    if ( streaming_ )
        context_.counters.resumed.add();
}

auto exchange::begin_handover( core::instance_id const& to,
                               std::string const& because ) -> void
{
    auto const now = context_.scheduler.now();
    auto const is_retry = targets_reached_ > 0;
    auto const targets_left = route_->max_targets - targets_counted();
    asked_instances_.insert( to );
    ++targets_reached_;
    context_.counters.handed_over.add();
    context_.log.record( request_handed_over{
        request_.id, content_, route_->id.str(), to, because,
        static_cast<std::int64_t>( asked_instances_.size() ),
        now - request_.received, deadline_ - now, is_retry } );

    auto const serial = ++context_.last_serial;
    current_.emplace(
        core::bounded_text( context_.answer_memory, max_answer_bytes() ) );
    auto& opened = *current_;
    opened.serial = serial;
    opened.is_handover = true;
    opened.is_retry = is_retry;
    opened.prefilling = false;
    opened.target.id = core::target_id( to.str() );
    opened.sent_at = now;
    opened.last_heard_at = now;
    opened.silent_from = now;
    auto out = outgoing_handover{};
    out.to = to;
    out.request = { shared_from_this(), &request_ };
    out.last_event = last_event_;
    out.time_left = deadline_ - now - handover_transit_time;
    out.origin = { context_.self, now - request_.received, targets_left };
    out.fresh_connection = !route_->is_idempotent();
    auto call = context_.handovers->send( std::move( out ),
                                          handler_for_attempt( serial ) );
    if ( current_ && current_->serial == serial )
        current_->call = std::move( call );
}

auto exchange::on_handover_head( target_attempt& from, answer_head head )
    -> void
{
    from.last_heard_at = context_.scheduler.now();
    from.silent_from = from.last_heard_at;
    if ( !head.handover_refused )
        may_have_run_ = true;
    from.head = std::move( head );
    if ( auto const* const defect = defect_of( *from.head ) )
        on_invalid_answer( from, defect );
}

auto exchange::on_handover_end( attempt_end end ) -> void
{
    auto const& head = current_->head;
    if ( end.complete && head && head->handover_refused )
        return on_handover_refused();
    auto const is_answer = end.complete && head && !end.is_delimited_by_close &&
                           is_whole( *current_ ) &&
                           ( !streaming_ || is_stream( *current_ ) );
    if ( is_answer )
        return relay_handed_over_answer();
    if ( end.complete )
        end.error = { core::error_code::malformed, "no answer to go on with" };
    on_handover_lost( end );
}

auto exchange::relay_handed_over_answer() -> void
{
    auto const status = current_->head->status;
    if ( status < first_failure_status )
        return on_complete();
    auto const is_refusal =
        status == status_unavailable && !current_->head->has_seal;
    answer_->send_whole( { status, current_->head->headers,
                           current_->body.release(), context_.path.is_cut() } );
    close_attempt( false );
    count_outcome( is_refusal ? context_.counters.refused
                              : context_.counters.failed );
    end( is_refusal ? "refused_elsewhere" : "failed_elsewhere", status );
}

/// The other instance has proved that it has not taken the request.
auto exchange::on_handover_refused() -> void
{
    context_.counters.handover_refused.add();
    return_handover_retry();
    end_handover( "not taken by the instance", false );
}

/// The other instance, or the connection to it, is lost.
auto exchange::on_handover_lost( attempt_end const& lost ) -> void
{
    context_.counters.handover_lost.add();
    may_have_run_ = may_have_run_ || lost.sent;
    if ( !lost.sent )
        return_handover_retry();
    end_handover( lost.error.detail, lost.sent );
}

/// No target has received the request by way of this handover.
auto exchange::return_handover_retry() -> void
{
    --targets_reached_;
    if ( current_->is_retry )
        context_.retries.give_back( demand_.service );
}

/// Goes on after a handover without an answer: at another instance, or here if
/// this one reaches targets again.
auto exchange::end_handover( std::string const& why, bool may_have_run ) -> void
{
    auto const failed = std::move( *current_ );
    record_failure( failed, why, may_have_run, "handover_ended" );
    current_.reset();
    context_.answers_without_memory.leave( failed.serial );
    if ( failed.call )
        failed.call->cancel();
    if ( hand_over( "handover_ended" ) )
        return;
    auto const goes_on_here =
        streaming_ || context_.path.state() == path_state::sound;
    if ( goes_on_here && may_retry() && has_retry_budget() )
    {
        if ( streaming_ )
            not_before_ = context_.scheduler.now() + pause_after_handover;
        if ( !try_start() )
            wait_in_queue();
        return;
    }
    give_up( context_.path.is_cut() ? cut_reason : unreached_reason,
             retry_after_cut );
}

}
