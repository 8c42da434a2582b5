#include <pollenstream/admission/admission_check.hpp>
#include <pollenstream/core/hash.hpp>
#include <pollenstream/core/invariant.hpp>
#include <pollenstream/routing/size_class.hpp>
#include <pollenstream/sessions/session.hpp>
#include <pollenstream/sessions/span_group.hpp>

#include <algorithm>
#include <string>
#include <utility>

// The part of `session` that handles attempts at engines: their connections and
// events, and the recovery from silence and failures.

namespace pollenstream::sessions
{

namespace
{

using namespace std::chrono_literals;

/// A connection without any event for this long after the first token counts as
/// silent.
constexpr auto silence_limit = core::duration( 5s );
/// Before the first token the limit is longer by this multiple of the predicted
/// time to the first token.
constexpr auto silence_prediction_factor = 3;
/// Requests with at most this many prompt tokens count towards the
/// `short_slowdown` metric.
constexpr auto max_short_prompt_tokens = std::int64_t{ 2'000 };
/// A small prompt is stalled without a first token after `min_stall_time` plus
/// `stall_prediction_factor` times the predicted time. It is then sent to
/// another target as well, at most `max_moves` times.
constexpr auto min_stall_time = core::duration( 400ms );
constexpr auto stall_prediction_factor = 4;
constexpr auto max_moves = 3;
/// Width of the pause before the second retry; later pauses double it.
constexpr auto min_retry_pause = core::duration( 20ms );

/// Returns the pause before a retry. The first retry is immediate; later ones
/// use exponential backoff with a hash as jitter, so that the requests of a
/// failed target do not all reach the next one at the same time.
auto pause_before_retry( core::request_id const& request,
                         std::int64_t attempts ) -> core::duration
{
    if ( attempts <= 1 )
        return core::duration( 0 );
    constexpr auto max_doublings = std::int64_t{ 5 };
    auto const doublings = std::min( attempts - 2, max_doublings );
    auto const width = min_retry_pause * ( 1 << doublings );
    auto const jitter =
        core::stable_hash( request.str(),
                           static_cast<std::uint64_t>( attempts ) ) %
        static_cast<std::uint64_t>( width.count() );
    return width + core::duration( static_cast<std::int64_t>( jitter ) );
}

/// Marks a target that was unreachable or did not reply as suspect, which
/// excludes it from target choice until a probe succeeds.
auto mark_suspect( routing::target& target,
                   core::error_code why,
                   core::instant now ) -> void
{
    auto const is_unresponsive = why == core::error_code::unreachable ||
                                 why == core::error_code::timed_out ||
                                 why == core::error_code::connection_lost;
    if ( is_unresponsive && target.phase() == routing::target_phase::alive )
        target.set_phase( routing::target_phase::suspect, now );
}

}

/// Forwards the events of one connection to the session together with the
/// numbers of attempt and connection. Shares ownership of the session.
class session::attempt_listener : public ports::stream_listener
{
public:
    attempt_listener( std::shared_ptr<session> owner,
                      core::attempt_number number,
                      std::int64_t connection_number )
        : owner_( std::move( owner ) ), number_( number ),
          connection_number_( connection_number )
    {
    }

    auto on_events( std::vector<ports::engine_event> const& events )
        -> void override
    {
        owner_->on_events( number_, connection_number_, events );
    }

    auto on_end( core::result<void> status ) -> void override
    {
        owner_->on_stream_end( number_, connection_number_,
                               std::move( status ) );
    }

private:
    std::shared_ptr<session> owner_;
    core::attempt_number number_;
    std::int64_t connection_number_;
};

auto session::attempt::has_connection( std::int64_t connection_number ) const
    -> bool
{
    return connection_number == latest.number ||
           ( previous && connection_number == previous->number );
}

auto session::make_engine_request( attempt const& target_attempt ) const
    -> ports::engine_request
{
    auto engine_request = ports::engine_request{};
    engine_request.request = id_;
    engine_request.attempt = target_attempt.number;
    engine_request.owner = context_.self;
    engine_request.priority = profile_.request_priority;
    engine_request.prompt = request_.prompt;
    engine_request.prompt_tokens = prompt_tokens_;
    engine_request.prefixes = prefixes_;
    engine_request.delivered = answer_.text();
    engine_request.from_position = answer_.position();
    engine_request.max_tokens = max_output_;
    engine_request.time_left = deadline_ - context_.clock.now();
    if ( target_attempt.group )
        engine_request.spans = target_attempt.group->reservations();
    return engine_request;
}

auto session::send_attempt( routing::target_choice choice,
                            std::shared_ptr<span_group> group ) -> void
{
    auto const now = context_.clock.now();
    auto const number = core::attempt_number( ++attempts_ );
    auto const in_group = group != nullptr;
    if ( attempts_ == 1 )
        context_.metrics.queue_time.add( core::seconds_of( now - admitted_ ) );
    auto work = routing::dispatched_work{};
    work.priority = profile_.request_priority;
    work.prompt_tokens = std::max( std::int64_t{ 0 },
                                   prompt_tokens_.count() + answer_.position() -
                                       choice.cached_tokens );
    work.memory_tokens =
        in_group ? 0 : prompt_tokens_.count() + max_output_.count();
    // The targets of a group were checked when its spans were reserved.
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           in_group || choice.chosen->may_get_work( now ),
                           choice.chosen->identity().id.str() );
    choice.chosen->add_dispatch( work );
    if ( !in_group )
        context_.policy.note_dispatch( choice, make_shape(), now );
    tried_.push_back( choice.chosen->identity().id );
    auto const endpoint = choice.chosen->endpoint();
    current_ =
        attempt{ number, std::move( choice ), work, now, std::move( group ) };
    auto const connection_number = current_->latest.number;
    auto listener = std::make_shared<attempt_listener>(
        shared_from_this(), number, connection_number );
    attach_stream( number, connection_number,
                   context_.engines.open( endpoint,
                                          make_engine_request( *current_ ),
                                          std::move( listener ) ) );
    if ( current_ && !in_group )
        arm_stall_check();
}

/// Stores the stream of a new connection. Cancels it if its attempt has ended
/// in the meantime.
auto session::attach_stream( core::attempt_number number,
                             std::int64_t connection_number,
                             std::shared_ptr<ports::engine_stream> stream )
    -> void
{
    auto* const target_attempt = find_attempt( number );
    if ( !target_attempt )
        stream->cancel();
    else if ( target_attempt->latest.number == connection_number )
        target_attempt->latest.stream = std::move( stream );
}

auto session::find_attempt( core::attempt_number number ) -> attempt*
{
    for ( auto* const each : { &current_, &silent_ } )
    {
        if ( *each && ( *each )->number == number )
            return &**each;
    }
    return nullptr;
}

auto session::arm_stall_check() -> void
{
    auto const is_small = routing::size_class_of( prompt_tokens_.count() ) ==
                          routing::size_class::small;
    if ( !is_small || moves_ == max_moves )
        return;
    auto const limit =
        min_stall_time + stall_prediction_factor * current_->choice.first_token;
    context_.timer.at( context_.clock.now() + limit,
                       [weak = weak_from_this(), number = current_->number]
                       {
                           if ( auto const self = weak.lock() )
                               self->on_stall_check( number );
                       } );
}

auto session::on_stall_check( core::attempt_number number ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto const is_waiting = !finished_ && current_ &&
                            current_->number == number &&
                            current_->prefill_counted;
    if ( !is_waiting )
        return;
    // The load estimate was wrong: the engine has no free capacity or is slower
    // than it reported. Its attempt stays open and may still answer first.
    auto choice = choose_with_retry();
    if ( !choice || !choice->has_memory )
    {
        arm_stall_check();
        return;
    }
    ++moves_;
    context_.metrics.moves.add();
    set_current_aside();
    send_attempt( std::move( *choice ), nullptr );
}

auto session::on_events( core::attempt_number number,
                         std::int64_t connection_number,
                         std::vector<ports::engine_event> const& events )
    -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto* const target_attempt = finished_ ? nullptr : find_attempt( number );
    if ( !target_attempt ||
         !target_attempt->has_connection( connection_number ) )
    {
        context_.metrics.stray_events.add( events.size() );
        return;
    }
    target_attempt->last_heard = context_.clock.now();
    if ( accept_events( *target_attempt, events ) )
    {
        keep_connection( *target_attempt, connection_number );
        keep_attempt( *target_attempt );
    }
    flush();
}

/// Returns whether any of the events was accepted as part of the answer.
auto session::accept_events( attempt& source,
                             std::vector<ports::engine_event> const& events )
    -> bool
{
    auto has_accepted = false;
    for ( auto const& event : events )
    {
        if ( event.load )
        {
            auto const& target = source.choice.chosen;
            target->take_report( *event.load, context_.clock.now() );
            context_.policy.note_cached( target->identity().id,
                                         event.load->cached );
        }
        if ( answer_.accept( event, source.number ) )
            has_accepted = true;
        else
            context_.metrics.stray_events.add();
    }
    return has_accepted;
}

/// Keeps the connection that delivered a part of the answer and detaches the
/// other one.
auto session::keep_connection( attempt& answering,
                               std::int64_t connection_number ) -> void
{
    if ( !answering.previous )
        return;
    if ( answering.latest.number != connection_number )
        std::swap( answering.latest, *answering.previous );
    if ( answering.previous->stream )
        answering.previous->stream->detach();
    answering.previous.reset();
}

/// Keeps the attempt that delivered a part of the answer; cancels the other
/// attempt and releases a group in preparation.
auto session::keep_attempt( attempt& answering ) -> void
{
    if ( silent_ )
    {
        if ( answering.number == silent_->number )
            std::swap( current_, silent_ );
        end_attempt( silent_, true );
    }
    release_preparing();
    // The first token of an attempt, which need not be the first of the answer,
    // shows that its prefill has ended.
    if ( std::exchange( current_->prefill_counted, false ) )
        current_->choice.chosen->end_prefill( current_->work );
}

auto session::flush() -> void
{
    if ( !answer_.has_ready() )
        return;
    auto const ready = answer_.take_ready();
    auto const now = context_.clock.now();
    if ( !last_token_ )
        note_first_token();
    else
        context_.metrics.token_gap.add( core::seconds_of( now - *last_token_ ) /
                                        static_cast<double>( ready.tokens ) );
    last_token_ = now;
    if ( sink_->write( ready.text, ready.tokens ) )
        return;
    context_.metrics.callers_gone.add();
    finish( failure( "caller-gone", "the caller closed its connection" ) );
}

auto session::note_first_token() -> void
{
    auto const elapsed = context_.clock.now() - admitted_;
    context_.metrics.add_first_token( prompt_tokens_, elapsed );
    auto const& chosen = *current_->choice.chosen;
    context_.policy.note_first_token( current_->choice, make_shape(), elapsed );
    auto const predicted = core::seconds_of( current_->choice.first_token );
    if ( predicted > 0 )
        context_.metrics.prediction.add( core::seconds_of( elapsed ) /
                                         predicted );
    if ( prompt_tokens_.count() > max_short_prompt_tokens )
        return;
    auto const unloaded_seconds =
        static_cast<double>( prompt_tokens_.count() ) /
            std::max( 1.0, chosen.prefill_rate() ) +
        chosen.step_seconds();
    if ( unloaded_seconds > 0 )
        context_.metrics.short_slowdown.add( core::seconds_of( elapsed ) /
                                             unloaded_seconds );
}

auto session::on_stream_end( core::attempt_number number,
                             std::int64_t connection_number,
                             core::result<void> status ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto* const target_attempt = finished_ ? nullptr : find_attempt( number );
    if ( !target_attempt ||
         !target_attempt->has_connection( connection_number ) )
        return;
    if ( answer_.has_ended() )
    {
        auto end = ports::answer_end{};
        end.prompt_tokens = prompt_tokens_;
        end.output_tokens = core::token_count( answer_.position() );
        finish( end );
        return;
    }
    auto why = core::error{ core::error_code::connection_lost,
                            "the stream ended before its last event" };
    if ( !status )
        why = status.error();
    auto const is_new = target_attempt->latest.number == connection_number;
    // `not_found` counts only after the first token: before it the engine may
    // not have processed the request yet.
    auto const has_lost_request = is_new && !target_attempt->prefill_counted &&
                                  why.code == core::error_code::not_found;
    if ( !has_lost_request &&
         fall_back_to_other_connection( *target_attempt, connection_number ) )
    {
        // The resume has failed, so the engine is still not known to be alive.
        if ( is_new )
            on_failed_resume( *target_attempt, why.code );
        return;
    }
    auto const may_still_run = !core::proves_not_run( why.code ) &&
                               why.code != core::error_code::failed;
    if ( may_still_run && !target_attempt->resumed_at )
        resume( *target_attempt, false );
    else
        fail_attempt( *target_attempt, why );
}

/// Falls back to the other connection of the attempt when one has ended;
/// returns false if there is none. A failed resume does not prove that the
/// previous connection is dead.
auto session::fall_back_to_other_connection( attempt& target_attempt,
                                             std::int64_t ended ) -> bool
{
    if ( !target_attempt.previous )
        return false;
    if ( target_attempt.latest.number == ended )
        target_attempt.latest = *target_attempt.previous;
    target_attempt.previous.reset();
    return true;
}

/// Resumes the stream over a new connection. With `keep_previous` the oldest
/// connection stays open until one of the two delivers a part of the answer;
/// both carry the events of the same run.
auto session::resume( attempt& target_attempt, bool keep_previous ) -> void
{
    auto const now = context_.clock.now();
    if ( !target_attempt.resumed_at )
        target_attempt.last_heard = now;
    target_attempt.resumed_at = now;
    context_.metrics.resumes.add();
    if ( keep_previous && !target_attempt.previous )
        target_attempt.previous = target_attempt.latest;
    else if ( target_attempt.latest.stream )
        target_attempt.latest.stream->detach();
    auto const number = target_attempt.number;
    auto const connection_number = ++target_attempt.connection_count;
    target_attempt.latest.number = connection_number;
    auto const endpoint = target_attempt.choice.chosen->endpoint();
    auto listener = std::make_shared<attempt_listener>(
        shared_from_this(), number, connection_number );
    attach_stream( number, connection_number,
                   context_.engines.resume(
                       endpoint, make_engine_request( target_attempt ),
                       std::move( listener ) ) );
}

/// Ends an attempt that its engine will not continue, and retries the request
/// unless another attempt or a group in preparation is left.
auto session::fail_attempt( attempt const& target_attempt,
                            core::error const& why ) -> void
{
    // A refused resume does not prove that the request has not run.
    auto const not_run =
        !target_attempt.resumed_at && core::proves_not_run( why.code );
    mark_suspect( *target_attempt.choice.chosen, why.code,
                  context_.clock.now() );
    auto const is_silent_one =
        silent_ && target_attempt.number == silent_->number;
    end_attempt( is_silent_one ? silent_ : current_, !not_run );
    auto const can_continue = current_ || return_to_silent() || preparing_;
    if ( !can_continue )
        retry_or_fail( why );
}

auto session::may_retry() const -> bool
{
    return attempts_ - moves_ <= profile_.retries;
}

auto session::retry_or_fail( core::error const& why ) -> void
{
    if ( !may_retry() || !context_.retries.take() )
    {
        finish( may_have_run_ ? failure( "target-failed", why.detail )
                              : refusal( "no-target", why.detail,
                                         admission::retry_without_target ) );
        return;
    }
    context_.metrics.retries.add();
    auto const pause = pause_before_retry( id_, attempts_ - moves_ );
    if ( pause == core::duration( 0 ) )
    {
        open_attempt();
        return;
    }
    context_.timer.at( context_.clock.now() + pause,
                       [self = shared_from_this()]
                       {
                           self->on_open_timer();
                       } );
}

auto session::is_current_silent( core::instant now ) const -> bool
{
    if ( !current_ )
        return false;
    auto limit = silence_limit;
    if ( current_->prefill_counted )
        limit += silence_prediction_factor * current_->choice.first_token;
    return now - current_->last_heard > limit;
}

auto session::recover_silent_current() -> void
{
    // A device between the two ends may have dropped the connection state while
    // the engine is alive. A new connection distinguishes the two cases.
    if ( !current_->resumed_at )
    {
        resume( *current_, true );
        return;
    }
    auto const number = current_->number;
    on_failed_resume( *current_, core::error_code::timed_out );
    auto const is_still_current = current_ && current_->number == number;
    auto const now = context_.clock.now();
    if ( is_still_current && now - *current_->resumed_at > silence_limit )
        resume( *current_, true );
}

/// Handles a resume that has failed or stayed silent: marks the target as
/// suspect and, for the current attempt, opens a hedge at another target.
auto session::on_failed_resume( attempt& target_attempt, core::error_code why )
    -> void
{
    if ( !std::exchange( target_attempt.suspected, true ) )
        mark_suspect( *target_attempt.choice.chosen, why,
                      context_.clock.now() );
    if ( target_attempt.number == current_->number )
        open_hedge();
}

}
