#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// Member functions of exchange that process the answers of targets: they relay
// events to the caller and decide what follows from the end of an answer.

namespace pollenstream::exchange
{

namespace
{

/// Unsent bytes to a slow caller above which its stream is aborted.
constexpr auto max_unsent_bytes = std::size_t{ 1 } << 20U;
/// Limit on one event, which holds some tens of tokens.
constexpr auto max_event_bytes = std::size_t{ 64 } * 1024;
constexpr auto too_large = "the answer is too large";

/// Why an answer that has ended with its connection does not count.
/// `target_listens`: whether the process that sent it still accepts
/// connections.
auto cut_error( std::optional<bool> target_listens ) -> core::error
{
    constexpr auto may_be_cut = "the answer may have been cut short";
    if ( !target_listens )
        return { core::error_code::timed_out, may_be_cut };
    if ( !*target_listens )
        return { core::error_code::connection_lost, may_be_cut };
    return { core::error_code::malformed, "a head without length or body" };
}

auto is_success( int status ) -> bool
{
    return status >= 200 && status < 300;
}

auto out_of_order() -> attempt_end
{
    auto failure = attempt_end{};
    failure.error = { core::error_code::failed, "event out of order" };
    failure.sent = true;
    return failure;
}

}

/// True if the answer is relayed event by event, so that it is never kept.
auto exchange::is_relayed_by_event( answer_head const& head ) const -> bool
{
    return route_->kind == request_kind::stream && is_success( head.status ) &&
           head.is_event_stream && !head.proves_not_run;
}

auto exchange::is_stream( target_attempt const& which ) const -> bool
{
    return which.head && is_relayed_by_event( *which.head );
}

/// Limit on an answer that is kept until it is complete: that of requests.
auto exchange::max_answer_bytes() const -> std::size_t
{
    return configuration_->limits.max_body_bytes;
}

/// What makes an answer invalid, or null. A head is checked as it arrives,
/// since the events that follow are relayed at once.
auto exchange::defect_of( answer_head const& head ) const -> char const*
{
    if ( head.announced_bytes.value_or( 0 ) > max_answer_bytes() &&
         !is_relayed_by_event( head ) )
        return too_large;
    if ( !is_success( head.status ) || head.proves_not_run )
        return nullptr;
    if ( !head.has_seal )
        return "success without a digest";
    // Callers and targets agree on bodies without a coding.
    if ( head.has_coding )
        return "success with a content coding";
    if ( streaming_ && !head.is_event_stream )
        return "no event stream to continue with";
    return nullptr;
}

/// False for a success that is invalid, or a stream that ends inside an event.
auto exchange::is_whole( target_attempt const& from ) const -> bool
{
    auto const ends_inside_event =
        is_stream( from ) && from.splitter.pending() > 0;
    return defect_of( *from.head ) == nullptr && !ends_inside_event;
}

/// True if the target's answer is complete and can be relayed to the caller.
auto exchange::can_relay( target_attempt const& from,
                          attempt_end const& end ) const -> bool
{
    auto const& head = from.head;
    return end.complete && head && !head->wrong_target &&
           !head->proves_not_run && head->status < first_failure_status &&
           is_whole( from ) && ( !streaming_ || is_stream( from ) );
}

auto exchange::find_attempt( std::uint64_t serial ) -> target_attempt*
{
    for ( auto* const which : { &current_, &silent_ } )
        if ( *which && ( *which )->serial == serial )
            return &**which;
    return nullptr;
}

auto exchange::on_head( std::uint64_t serial, answer_head head ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    if ( from->is_handover )
        return on_handover_head( *from, std::move( head ) );
    from->last_heard_at = context_.scheduler.now();
    from->silent_from = from->last_heard_at;
    context_.path.note_answer( from->last_heard_at );
    if ( head.load )
        context_.loads.note_reported_load( from->target, *head.load,
                                           from->last_heard_at );
    if ( !head.wrong_target )
        note_reported_state( *from, head );
    if ( !head.proves_not_run && !head.wrong_target )
        may_have_run_ = true;
    from->head = std::move( head );
    if ( auto const* const defect = defect_of( *from->head ) )
        on_invalid_answer( *from, defect );
}

/// Ends an attempt whose answer does not count, without waiting for its rest.
/// The target may have processed the request.
auto exchange::on_invalid_answer( target_attempt const& from,
                                  std::string detail ) -> void
{
    auto end = attempt_end{};
    end.error = { core::error_code::malformed, std::move( detail ) };
    end.sent = true;
    if ( is_silent_attempt( &from ) )
        return on_silent_target_failed( end );
    on_broken_attempt( end );
}

auto exchange::on_body( std::uint64_t serial, std::string const& bytes ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    if ( !from->is_handover )
        context_.path.note_answer( context_.scheduler.now() );
    if ( !is_stream( *from ) )
    {
        if ( from->body.append( bytes ) )
            return;
        if ( !from->body.append_beyond_budget( bytes ) )
            return on_invalid_answer( *from, too_large );
        return wait_for_memory( *from );
    }
    auto events = from->splitter.take( bytes );
    if ( from->splitter.pending() > max_event_bytes )
        return on_invalid_answer( *from, "an event without end" );
    if ( is_silent_attempt( from ) && !silent_target_resumes( events ) )
        return;
    relay( std::move( events ) );
}

/// There is no memory for more of this answer. Its target is not read until
/// there is, unless all answers that are older have ended.
auto exchange::wait_for_memory( target_attempt& from ) -> void
{
    auto const has_to_wait = context_.answers_without_memory.wait(
        from.serial,
        [self = weak_from_this(), serial = from.serial]
        {
            auto const owner = self.lock();
            if ( owner )
                owner->run(
                    [&]
                    {
                        owner->on_memory_free( serial );
                    } );
        } );
    if ( !has_to_wait || !from.call )
        return;
    from.is_paused = true;
    from.call->pause();
}

auto exchange::on_memory_free( std::uint64_t serial ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr || !std::exchange( from->is_paused, false ) )
        return;
    from->last_heard_at = context_.scheduler.now();
    from->silent_from = from->last_heard_at;
    auto const call = from->call;
    call->resume();
}

/// Returns to the silent target if its events continue or overlap what the
/// caller has. Returns false if they do not, or if none is complete: nothing
/// more may follow part of an event, so it does not end the other attempt.
auto exchange::silent_target_resumes( std::vector<stream_event> const& events )
    -> bool
{
    if ( events.empty() )
        return false;
    auto const& id = events.front().id;
    if ( !id || !last_event_ || *id <= *last_event_ + 1 )
        return return_to_silent_target( "the silent target sent events again" );
    on_silent_target_failed( out_of_order() );
    return false;
}

auto exchange::relay( std::vector<stream_event> events ) -> void
{
    auto out = std::string{};
    for ( auto& event : events )
    {
        if ( !relay_event( event ) )
        {
            // Event ids are missing, so later events cannot be relayed.
            send_to_caller( std::move( out ) );
            return on_broken_attempt( out_of_order() );
        }
        out += event.bytes;
    }
    if ( answer_->unsent_bytes() > max_unsent_bytes )
        return fail( status_gateway_timeout, "caller_does_not_read" );
    send_to_caller( std::move( out ) );
}

/// Sends complete events to the caller, after the head of the answer if this is
/// the first time. The other attempt, if one is still open, is closed.
auto exchange::send_to_caller( std::string events ) -> void
{
    if ( events.empty() )
        return;
    close_silent();
    if ( !std::exchange( streaming_, true ) )
        answer_->start_stream( current_->head->status,
                               current_->head->headers );
    answer_->send_chunk( std::move( events ) );
}

/// Records one event, and empties it if the caller already has it. Returns
/// false if events before it are missing.
auto exchange::relay_event( stream_event& event ) -> bool
{
    note_event();
    if ( !event.id )
        return true;
    if ( last_event_ && *event.id <= *last_event_ )
    {
        event.bytes.clear();
        return true;
    }
    auto const in_order = !last_event_ || *event.id == *last_event_ + 1;
    if ( in_order )
        last_event_ = event.id;
    return in_order;
}

auto exchange::note_event() -> void
{
    auto const now = context_.scheduler.now();
    current_->last_heard_at = now;
    current_->silent_from = now;
    current_->is_silence_noted = false;
    if ( ++current_->events == 1 )
        current_->first_event_at = now;
    auto const may_prove = !parts_are_sound_ && !current_->is_handover;
    if ( may_prove && proves_parts_sound( *current_ ) )
        note_sound_parts( *current_ );
    if ( current_->prefilling )
    {
        current_->prefilling = false;
        if ( current_->reservation )
            current_->reservation->note_used();
        context_.loads.end_prefill( context_.self, current_->serial, now );
        context_.announcer.prefill_ended( current_->serial );
        context_.queue.schedule_round();
    }
    if ( events_ == 0 )
        first_event_ = now - request_.received;
    else
        longest_gap_ = std::max( longest_gap_, now - last_event_at_ );
    last_event_at_ = now;
    ++events_;
}

auto exchange::on_end( std::uint64_t serial, attempt_end const& end ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    if ( from->is_handover )
        return on_handover_end( end );
    if ( end.sent && !( from->head && from->head->proves_not_run ) )
        may_have_run_ = may_have_run_ || !end.complete;
    if ( end.is_delimited_by_close )
        context_.counters.ended_by_close.add();
    if ( end.is_delimited_by_close && from->head &&
         is_success( from->head->status ) )
        return check_if_cut_short( *from );
    if ( is_silent_attempt( from ) )
    {
        if ( !can_relay( *from, end ) )
            return on_silent_target_failed( end );
        return_to_silent_target( "the silent target answered" );
    }
    if ( !end.complete || !current_->head )
        return on_broken_attempt( end );
    auto const& head = *current_->head;
    if ( head.wrong_target || head.proves_not_run )
        return on_not_run();
    if ( head.status >= first_failure_status )
        return on_error_status();
    on_complete();
}

/// The answer has ended with its connection. If the target's process has ended
/// too, the answer may have been cut short, also between two events, so it is
/// whole only if the target still listens. A head alone never is.
auto exchange::check_if_cut_short( target_attempt const& from ) -> void
{
    if ( is_stream( from ) && from.splitter.pending() > 0 )
        return on_checked( from.serial, false );
    context_.probe.probe(
        from.address,
        [self = shared_from_this(), serial = from.serial]( auto listens )
        {
            self->run(
                [&]
                {
                    self->on_checked( serial, listens );
                } );
        } );
}

auto exchange::on_checked( std::uint64_t serial,
                           std::optional<bool> target_listens ) -> void
{
    auto const keep = shared_from_this();
    auto const* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    auto const is_empty =
        is_stream( *from ) ? from->events == 0 : from->body.empty();
    auto end = attempt_end{};
    end.sent = true;
    end.complete = target_listens.value_or( false ) && !is_empty;
    if ( !end.complete )
        end.error = cut_error( target_listens );
    on_end( serial, end );
}

auto exchange::on_complete() -> void
{
    auto const& head = *current_->head;
    if ( !is_whole( *current_ ) )
        return on_invalid_answer( *current_, "incomplete answer" );
    if ( !current_->is_handover )
        note_complete_answer();
    auto const status = head.status;
    if ( is_stream( *current_ ) )
    {
        if ( !streaming_ )
            answer_->start_stream( status, head.headers );
        answer_->end_stream();
    }
    else if ( streaming_ )
    {
        if ( !return_to_silent_target( "resumption_refused" ) )
            fail( status_bad_gateway, "resumption_refused" );
        return;
    }
    else
    {
        answer_->send_whole( { status, head.headers, current_->body.release(),
                               context_.path.is_cut() } );
    }
    close_attempt( false, work_outcome::served );
    close_silent();
    count_outcome( context_.counters.served );
    end( "served", status );
}

/// The target has served the request, which shows that its suspects are sound.
auto exchange::note_complete_answer() -> void
{
    context_.loads.note_success( current_->target );
    if ( is_success( current_->head->status ) )
        note_served( suspects_ );
}

auto exchange::on_error_status() -> void
{
    note_failure( current_->target );
    auto const status = current_->head->status;
    if ( retry( "status " + std::to_string( status ), true,
                current_->target.id ) )
        return;
    if ( streaming_ )
    {
        if ( !return_to_silent_target( "status " + std::to_string( status ) ) )
            fail( status, "target_failed" );
        return;
    }
    // The caller gets this answer now: it is of more use to it than waiting for
    // an attempt whose target is silent.
    answer_->send_whole(
        { status, current_->head->headers, current_->body.release() } );
    close_attempt( false );
    close_silent();
    count_outcome( context_.counters.failed );
    end( "target_failed", status );
}

auto exchange::on_not_run() -> void
{
    auto const at_fault = note_rejection( *current_ );
    auto const why = "not run, status " +
                     std::to_string( current_->head->status ) +
                     ", target at fault: " + at_fault.id.str();
    if ( retry( why, false, at_fault.id ) || return_to_silent_target( why ) )
        return;
    if ( streaming_ )
        return fail( status_bad_gateway, "resumption_refused" );
    close_attempt( false );
    if ( may_have_run_ )
        return fail( status_bad_gateway, "not_run_after_failure" );
    refuse( status_unavailable, "turned_away", retry_after_turned_away );
}

/// No renewal has reached the target in time: it has aborted the request, or is
/// unreachable. Waiting for the answer any longer is pointless.
auto exchange::on_reservation_expired( std::uint64_t serial,
                                       core::target_id const& target ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    auto end = attempt_end{};
    end.error = { core::error_code::expired,
                  "reservation expired at " + target.str() };
    end.sent = true;
    may_have_run_ = true;
    exclude_target( target );
    if ( is_silent_attempt( from ) )
        return on_silent_target_failed( end );
    on_broken_attempt( end );
}

auto exchange::on_broken_attempt( attempt_end const& end ) -> void
{
    if ( current_->is_handover )
        return on_handover_lost( end );
    auto const target = current_->target;
    note_broken_attempt( *current_, end );
    if ( retry( end.error.detail, end.sent, target.id ) ||
         return_to_silent_target( end.error.detail ) )
        return;
    close_attempt( true );
    if ( !end.sent && hand_over( unreached_reason ) )
        return;
    if ( may_have_run_ || streaming_ )
        return fail( status_bad_gateway,
                     context_.crashes.is_quarantined( suspects_ )
                         ? quarantined_reason
                         : "target_lost" );
    refuse( status_unavailable, unreached_reason, retry_after_turned_away );
}

}
