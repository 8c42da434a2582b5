#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// The part of an exchange's life in which its targets answer: what is passed on
// to the caller, and what an answer's end means.

namespace pollenstream::exchange
{

namespace
{

/// Bytes that may wait for a slow caller before the stream is given up.
constexpr auto most_unsent = std::size_t{ 1 } << 20U;
constexpr auto first_failure_status = 500;

auto is_success( int status ) -> bool
{
    return status >= 200 && status < 300;
}

auto out_of_order() -> attempt_end
{
    auto lost = attempt_end{};
    lost.error = { core::error_code::failed, "event out of order" };
    lost.sent = true;
    return lost;
}

}

auto exchange::streams( target_attempt const& which ) const -> bool
{
    return route_->kind == request_kind::stream && which.head &&
           is_success( which.head->status );
}

/// True where a success has its digest and no half event at its end.
auto exchange::is_whole( target_attempt const& from ) const -> bool
{
    return !is_success( from.head->status ) ||
           ( from.head->has_seal &&
             !( streams( from ) && from.splitter.pending() > 0 ) );
}

/// True where the target has given an answer that can be passed on.
auto exchange::is_answer( target_attempt const& from,
                          attempt_end const& end ) const -> bool
{
    auto const& head = from.head;
    return end.complete && head && !head->wrong_target &&
           !head->proves_not_run && head->status < first_failure_status &&
           is_whole( from ) && ( !streaming_ || streams( from ) );
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
    from->heard_at = shared_.scheduler.now();
    from->watched_from = from->heard_at;
    if ( head.load )
        shared_.loads.note_reported_load( from->target, *head.load,
                                          from->heard_at );
    if ( !head.wrong_target )
        note_told_state( *from, head );
    if ( !head.proves_not_run && !head.wrong_target )
        may_have_run_ = true;
    from->head = std::move( head );
}

auto exchange::on_body( std::uint64_t serial, std::string const& bytes ) -> void
{
    auto* const from = find_attempt( serial );
    if ( from == nullptr )
        return;
    if ( !streams( *from ) )
    {
        from->body += bytes;
        return;
    }
    auto events = from->splitter.take( bytes );
    if ( is_silent_one( from ) && !speaks_again( events ) )
        return;
    relay( std::move( events ) );
}

/// True where the silent target goes on behind what the caller has. Half an
/// event may be its last word, and costs the other place nothing yet.
auto exchange::speaks_again( std::vector<stream_event> const& events ) -> bool
{
    if ( events.empty() )
        return false;
    auto const& id = events.front().id;
    if ( !id || !last_event_ || *id <= *last_event_ + 1 )
        return go_back( "it speaks again" );
    on_silent_lost( out_of_order() );
    return false;
}

auto exchange::relay( std::vector<stream_event> events ) -> void
{
    auto out = std::string{};
    for ( auto& event : events )
    {
        if ( !relay_event( event ) )
        {
            // A gap in the numbers: what follows cannot be joined.
            pass_on( std::move( out ) );
            return on_broken( out_of_order() );
        }
        out += event.bytes;
    }
    if ( answer_->unsent_bytes() > most_unsent )
        return fail( status_gateway_timeout, "caller_does_not_read" );
    pass_on( std::move( out ) );
}

/// Whole events for the caller, behind the head of the answer.
auto exchange::pass_on( std::string events ) -> void
{
    if ( events.empty() )
        return;
    close_silent();
    if ( !std::exchange( streaming_, true ) )
        answer_->start_stream( current_->head->status,
                               current_->head->headers );
    answer_->send_piece( std::move( events ) );
}

/// Takes one event into account; an event that the caller has already is
/// emptied. False where events between are missing.
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
    auto const now = shared_.scheduler.now();
    current_->heard_at = now;
    current_->watched_from = now;
    current_->is_blamed = false;
    if ( current_->prefilling )
    {
        current_->prefilling = false;
        shared_.loads.end_prefill( shared_.self, current_->serial, now );
        shared_.announcer.prefill_ended( current_->serial );
        shared_.queue.schedule_round();
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
    if ( end.sent && !( from->head && from->head->proves_not_run ) )
        may_have_run_ = may_have_run_ || !end.complete;
    if ( is_silent_one( from ) )
    {
        if ( !is_answer( *from, end ) )
            return on_silent_lost( end );
        go_back( "it answers" );
    }
    if ( !end.complete || !current_->head )
        return on_broken( end );
    auto const& head = *current_->head;
    if ( head.wrong_target || head.proves_not_run )
        return on_not_run();
    if ( head.status >= first_failure_status )
        return on_own_failure();
    on_complete();
}

auto exchange::on_complete() -> void
{
    auto const& head = *current_->head;
    if ( !is_whole( *current_ ) )
    {
        auto lost = attempt_end{};
        lost.error = { core::error_code::malformed, "answer not whole" };
        lost.sent = true;
        return on_broken( lost );
    }
    shared_.loads.note_success( current_->target );
    if ( is_success( head.status ) )
        note_served();
    auto const status = head.status;
    if ( streams( *current_ ) )
    {
        if ( !streaming_ )
            answer_->start_stream( status, head.headers );
        answer_->end_stream();
    }
    else if ( streaming_ )
    {
        if ( !go_back( "resumption_refused" ) )
            fail( status_bad_gateway, "resumption_refused" );
        return;
    }
    else
    {
        answer_->send_whole(
            { status, head.headers, std::move( current_->body ) } );
    }
    close_attempt( false, work_outcome::served );
    close_silent();
    shared_.counters.served.add();
    end( "served", status );
}

auto exchange::on_own_failure() -> void
{
    note_failure( current_->target );
    auto const status = current_->head->status;
    if ( try_again( "status " + std::to_string( status ), true,
                    current_->target.id ) )
        return;
    if ( streaming_ )
    {
        if ( !go_back( "status " + std::to_string( status ) ) )
            fail( status, "target_failed" );
        return;
    }
    // Sooner, and worth more to a caller, than what a silent target may say.
    answer_->send_whole(
        { status, current_->head->headers, std::move( current_->body ) } );
    close_attempt( false );
    close_silent();
    shared_.counters.failed.add();
    end( "target_failed", status );
}

auto exchange::on_not_run() -> void
{
    auto const blamed = blame( *current_ );
    auto const why = "not run, status " +
                     std::to_string( current_->head->status ) + ", blames " +
                     blamed.id.str();
    if ( try_again( why, false, blamed.id ) || go_back( why ) )
        return;
    if ( streaming_ )
        return fail( status_bad_gateway, "resumption_refused" );
    close_attempt( false );
    if ( may_have_run_ )
        return fail( status_bad_gateway, "not_run_after_failure" );
    refuse( status_unavailable, "turned_away", retry_after_turned_away );
}

auto exchange::on_broken( attempt_end const& end ) -> void
{
    auto const target = current_->target;
    note_break( *current_, end );
    if ( try_again( end.error.detail, end.sent, target.id ) ||
         go_back( end.error.detail ) )
        return;
    close_attempt( true );
    if ( may_have_run_ || streaming_ )
        return fail( status_bad_gateway,
                     is_quarantined() ? quarantined_reason : "target_lost" );
    refuse( status_unavailable, "not_reached", retry_after_turned_away );
}

}
