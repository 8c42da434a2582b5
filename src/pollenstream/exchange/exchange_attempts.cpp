#include <pollenstream/core/invariant.hpp>
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <utility>

// The part of an exchange's life at targets: each try, what it brings, and
// whether another one follows.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Connections that could not be made do not count as targets reached, but a
/// request does not try for ever.
constexpr auto most_failed_connects = std::int64_t{ 4 };
/// Silence before the first event that is put down to the target: this much
/// and this many times the prediction. Predictions are late by a pass or two.
/// A prompt read in parts waits for the slowest of its readers, so that the
/// slack is never less than the route's objective.
constexpr auto first_event_slack = core::duration( 900ms );
constexpr auto first_event_factor = 2.5;
/// Silence between events: at least this, or this many tolerated pauses.
constexpr auto shortest_silence = core::duration( 1s );
constexpr auto silence_per_gap = 4;
/// Longest time for which an engine that reads is expected to be silent: longer
/// parts are not given to one that writes.
constexpr auto longest_reading = core::duration( 2s );
/// Silence of a call that may be repeated: at least this, or this many times
/// its objective. Calls of the first deployments take 220 ms at most.
constexpr auto shortest_call_silence = core::duration( 250ms );
constexpr auto call_silence_per_latency = 2;
/// Time that has to be left for another try to be worth it.
constexpr auto least_time_for_try = core::duration( 40ms );
/// Bytes that may wait for a slow caller before the stream is given up.
constexpr auto most_unsent = std::size_t{ 1 } << 20U;
constexpr auto first_failure_status = 500;

auto is_success( int status ) -> bool
{
    return status >= 200 && status < 300;
}

}

/// Passes a target's answer on under the number of the try that it belongs
/// to, and keeps the exchange alive meanwhile.
class exchange::attempt : public attempt_listener
{
public:
    attempt( std::shared_ptr<exchange> owner, std::uint64_t serial )
        : owner_( std::move( owner ) ), serial_( serial )
    {
    }
    auto on_head( answer_head head ) -> void override
    {
        auto const keep = owner_;
        keep->on_head( serial_, std::move( head ) );
    }
    auto on_body( std::string bytes ) -> void override
    {
        auto const keep = owner_;
        keep->on_body( serial_, bytes );
    }
    auto on_end( attempt_end end ) -> void override
    {
        auto const keep = owner_;
        keep->on_end( serial_, end );
    }

private:
    std::shared_ptr<exchange> owner_;
    std::uint64_t serial_;
};

auto exchange::directions( placement_choice const& choice,
                           std::shared_ptr<reservation_group> const& memory )
    const -> target_directions
{
    auto told = target_directions{};
    told.target = choice.targets.front()->facts.id;
    told.time_left = deadline_ - shared_.scheduler.now();
    told.workspace = workspace_;
    told.last_event = last_event_;
    auto const ticket = memory ? memory->id() : core::reservation_id{};
    // With memory held the first target lists its own part too, in front.
    for ( auto i = std::size_t{ memory ? 0U : 1U }; i < choice.targets.size();
          ++i )
        told.helpers.push_back( { choice.targets[i]->facts.address, ticket } );
    return told;
}

/// Counts the work on the board and tells those who place prompts of it. Of
/// plain calls nobody else needs to know.
auto exchange::add_work( placement_grant const& grant ) -> void
{
    auto work = open_work{};
    work.serial = grant.serial;
    work.parts = grant.choice.parts;
    work.context_tokens = demand_.prompt_tokens;
    work.tolerated_gap_ms = core::milliseconds_of( demand_.gap_objective );
    work.reading = route_->kind == request_kind::stream;
    work.is_suspect = is_suspect_;
    shared_.board.add_work( shared_.self, work, shared_.scheduler.now() );
    if ( needs_engine() )
        shared_.announcer.work_began( work );
}

auto exchange::send( placement_grant const& grant,
                     std::shared_ptr<reservation_group> memory ) -> void
{
    auto const now = shared_.scheduler.now();
    auto const& choice = grant.choice;
    auto const& first = *choice.targets.front();
    core::check_invariant( core::invariant::leaving_gets_no_work,
                           first.takes_work() || memory,
                           "target " + first.facts.id.str() + " is leaving" );
    core::check_invariant( core::invariant::pause_holds,
                           !shared_.board.is_paused( first.ref(), now ),
                           "target " + first.facts.id.str() + " is paused" );
    core::check_invariant( core::invariant::quarantine_holds, !is_quarantined(),
                           "content " + to_string( content_ ) + " sent" );
    ++targets_reached_;
    holds_repeat_ = false;
    if ( silent_ )
        note_repeat();
    core::check_invariant( core::invariant::at_most_once,
                           route_->is_idempotent() || !may_have_run_,
                           "attempt " + request_.id.str() + " sent again" );
    auto const serial = grant.serial;
    shared_.log.record( request_placed{
        request_.id, content_, route_->id.str(), first.facts.id, choice.parts,
        targets_reached_, now - request_.received, deadline_ - now,
        choice.first_event_ms, demand_.prompt_tokens, choice.basis,
        configuration_->version, grant.decided_by, last_ask_time_ } );

    current_ = open_try{};
    auto& opened = *current_;
    opened.serial = serial;
    opened.target = first.ref();
    opened.address = first.facts.address;
    opened.memory = std::move( memory );
    opened.predicted_ms = choice.first_event_ms;
    opened.sent_at = now;
    opened.heard_at = now;
    opened.watched_from = now;
    last_target_ = first.facts.id;
    auto out = outgoing_request{};
    out.id = request_.id;
    out.target = first.facts.id;
    out.lifetime = first.facts.lifetime;
    out.address = first.facts.address;
    out.is_get = request_.method == "GET";
    out.text = std::make_shared<std::string const>( shared_.speller.spell(
        request_, directions( choice, opened.memory ) ) );
    auto call = shared_.targets.send(
        std::move( out ),
        std::make_shared<attempt>( shared_from_this(), serial ) );
    if ( current_ && current_->serial == serial )
        current_->call = std::move( call );
    arm_watch();
}

auto exchange::streams( open_try const& which ) const -> bool
{
    return route_->kind == request_kind::stream && which.head &&
           is_success( which.head->status );
}

/// True where the target has given an answer that can be passed on.
auto exchange::is_answer( open_try const& from, attempt_end const& end ) -> bool
{
    auto const& head = from.head;
    return end.complete && head && !head->wrong_target &&
           !head->proves_not_run && head->status < first_failure_status;
}

auto exchange::find_try( std::uint64_t serial ) -> open_try*
{
    for ( auto* const which : { &current_, &silent_ } )
        if ( *which && ( *which )->serial == serial )
            return &**which;
    return nullptr;
}

auto exchange::on_head( std::uint64_t serial, answer_head head ) -> void
{
    auto* const from = find_try( serial );
    if ( from == nullptr )
        return;
    from->heard_at = shared_.scheduler.now();
    from->watched_from = from->heard_at;
    if ( head.load )
        shared_.board.note_told( from->target, *head.load, from->heard_at );
    if ( !head.wrong_target )
        note_told_state( *from, head );
    if ( !head.proves_not_run && !head.wrong_target )
        may_have_run_ = true;
    from->head = std::move( head );
}

auto exchange::on_body( std::uint64_t serial, std::string const& bytes ) -> void
{
    auto* const from = find_try( serial );
    if ( from == nullptr )
        return;
    if ( !streams( *from ) )
    {
        from->body += bytes;
        return;
    }
    if ( is_silent_one( from ) )
        go_back( "it speaks again" );
    relay( bytes );
}

auto exchange::relay( std::string const& bytes ) -> void
{
    auto out = std::string{};
    for ( auto& event : current_->splitter.take( bytes ) )
    {
        if ( !relay_event( event ) )
        {
            // A gap in the numbers: what follows cannot be joined.
            if ( !out.empty() )
                answer_->send_piece( std::move( out ) );
            auto lost = attempt_end{};
            lost.error = { core::error_code::failed, "event out of order" };
            lost.sent = true;
            return on_broken( lost );
        }
        out += event.bytes;
    }
    if ( out.empty() )
        return;
    close_silent();
    if ( !streaming_ )
    {
        streaming_ = true;
        answer_->start_stream( current_->head->status,
                               current_->head->headers );
    }
    if ( answer_->unsent_bytes() > most_unsent )
        return fail( status_gateway_timeout, "caller_does_not_read" );
    answer_->send_piece( std::move( out ) );
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
    if ( current_->reading )
    {
        current_->reading = false;
        shared_.board.end_reading( shared_.self, current_->serial, now );
        shared_.announcer.reading_ended( current_->serial );
        shared_.room.poke();
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
    auto* const from = find_try( serial );
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
    if ( is_success( head.status ) &&
         ( !head.has_seal ||
           ( streams( *current_ ) && current_->splitter.pending() > 0 ) ) )
    {
        auto lost = attempt_end{};
        lost.error = { core::error_code::malformed, "answer not whole" };
        lost.sent = true;
        return on_broken( lost );
    }
    shared_.board.note_success( current_->target );
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
    close_try( false, work_outcome::served );
    close_silent();
    shared_.counters.served.add();
    end( "served", status );
}

auto exchange::on_own_failure() -> void
{
    note_failure( current_->target );
    auto const status = current_->head->status;
    if ( try_again( "status " + std::to_string( status ), true,
                    current_->target.id ) ||
         go_back( "status " + std::to_string( status ) ) )
        return;
    if ( streaming_ )
        return fail( status, "target_failed" );
    answer_->send_whole(
        { status, current_->head->headers, std::move( current_->body ) } );
    close_try( false );
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
    close_try( false );
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
    close_try( true );
    if ( may_have_run_ || streaming_ )
        return fail( status_bad_gateway,
                     is_quarantined() ? quarantined_reason : "target_lost" );
    refuse( status_unavailable, "not_reached", retry_after_turned_away );
}

auto exchange::may_repeat() -> bool
{
    if ( may_have_run_ && !route_->is_idempotent() )
        return false;
    if ( is_quarantined() )
        return false;
    auto const now = shared_.scheduler.now();
    return targets_reached_ < route_->max_targets &&
           connects_failed_ < most_failed_connects &&
           deadline_ - now > least_time_for_try;
}

/// A repeat counts once a target has been reached. One that has been taken and
/// not sent serves for the next try.
auto exchange::take_repeat() -> bool
{
    if ( targets_reached_ == 0 || holds_repeat_ )
        return true;
    holds_repeat_ =
        shared_.retries.take( demand_.service, shared_.scheduler.now() );
    return holds_repeat_;
}

auto exchange::note_repeat() -> void
{
    shared_.counters.repeats.add();
    if ( streaming_ )
        shared_.counters.resumed.add();
}

auto exchange::avoid( core::target_id const& target ) -> void
{
    auto& tried = demand_.tried;
    if ( std::find( tried.begin(), tried.end(), target ) == tried.end() )
        tried.push_back( target );
}

auto exchange::record_failure( open_try const& which,
                               std::string why,
                               bool may_have_run,
                               std::string decision ) -> void
{
    shared_.log.record( attempt_failed{
        request_.id, content_, which.target.id, std::move( why ), may_have_run,
        std::move( decision ), shared_.scheduler.now() - which.heard_at,
        events_, std::exchange( watch_late_, {} ) } );
}

auto exchange::try_again( std::string const& why,
                          bool may_have_run,
                          core::target_id const& avoided ) -> bool
{
    auto const again = may_repeat() && take_repeat();
    record_failure( *current_, why, may_have_run,
                    again ? "send_again" : "give_up" );
    if ( !again )
        return false;
    note_repeat();
    avoid( avoided );
    close_try( true );
    if ( !try_start() )
        wait_for_room();
    return true;
}

auto exchange::look_elsewhere() -> void
{
    may_have_run_ = true;
    note_failure( current_->target );
    auto const again = may_repeat() && take_repeat();
    record_failure( *current_, "silent", true,
                    again ? "look_elsewhere" : "wait" );
    if ( !again )
    {
        current_->watched_from = shared_.scheduler.now();
        return arm_watch();
    }
    avoid( current_->target.id );
    silent_ = std::exchange( current_, std::nullopt );
    if ( !try_start() )
        wait_for_room();
}

auto exchange::go_back( std::string const& why ) -> bool
{
    if ( !silent_ )
        return false;
    record_failure( *silent_, why, true, "go_back" );
    close_try( true );
    stop_looking();
    current_ = std::exchange( silent_, std::nullopt );
    current_->watched_from = shared_.scheduler.now();
    arm_watch();
    return true;
}

/// The silent target has ended or failed after all. What is looked for or has
/// been found meanwhile goes on without it.
auto exchange::on_silent_lost( attempt_end const& end ) -> void
{
    auto const& head = silent_->head;
    if ( !end.complete || !head )
        note_break( *silent_, end );
    else if ( head->wrong_target || head->proves_not_run )
        blame( *silent_ );
    else
        note_failure( silent_->target );
    record_failure( *silent_,
                    end.complete ? "failed while silent" : end.error.detail,
                    true, "goes_on_elsewhere" );
    close_silent();
    if ( shared_.scheduler.now() >= refused_at() )
        on_out_of_patience();
}

/// Silence that is not put down to the target yet. An engine is silent while it
/// reads what the board knows of: that is no failure, and the request would
/// only be read a second time elsewhere.
auto exchange::tolerated_silence() const -> core::duration
{
    auto const at = shared_.board.find_lifetime( current_->target );
    auto const reads_until = at ? at->load.read_until : core::instant{};
    auto const reading = std::clamp( reads_until - current_->watched_from,
                                     core::duration( 0 ), longest_reading );
    return idle_silence() + reading;
}

auto exchange::idle_silence() const -> core::duration
{
    if ( route_->kind == request_kind::safe )
        return std::max( shortest_call_silence,
                         route_->latency_objective * call_silence_per_latency );
    if ( !current_->reading )
        return std::max( shortest_silence,
                         route_->gap_objective * silence_per_gap );
    return std::max( first_event_slack, route_->latency_objective ) +
           core::duration_of( current_->predicted_ms * first_event_factor /
                              1'000 );
}

auto exchange::arm_watch() -> void
{
    if ( !current_ || route_->kind == request_kind::unsafe )
        return;
    auto const now = shared_.scheduler.now();
    watch_due_ = std::max( now + core::duration( 1ms ),
                           current_->watched_from + tolerated_silence() );
    watch_call_ = shared_.scheduler.call_after( watch_due_ - now,
                                                [this]
                                                {
                                                    on_watch();
                                                } );
}

auto exchange::on_watch() -> void
{
    auto const done = std::move( watch_call_ );
    if ( finished_ || !current_ )
        return;
    auto const keep = shared_from_this();
    auto const now = shared_.scheduler.now();
    auto const since = now - current_->watched_from;
    watch_late_ = now - watch_due_;
    if ( route_->kind == request_kind::stream && since < tolerated_silence() )
        return arm_watch();
    // Only worth a look where another target may be reached.
    if ( route_->is_idempotent() && targets_reached_ < route_->max_targets )
        look_elsewhere();
}

auto exchange::close_try( bool cancel, work_outcome outcome ) -> void
{
    if ( current_ )
        watch_call_.reset();
    close( current_, cancel, outcome );
}

auto exchange::close_silent() -> void
{
    close( silent_, true, work_outcome::none );
}

auto exchange::close_all() -> void
{
    close_try( true );
    close_silent();
}

auto exchange::close( std::optional<open_try>& which,
                      bool cancel,
                      work_outcome outcome ) -> void
{
    if ( !which )
        return;
    auto gone = std::move( *which );
    which.reset();
    if ( cancel && gone.call )
        gone.call->cancel();
    if ( gone.memory )
        gone.memory->release();
    release( gone.serial, outcome );
    shared_.room.poke();
}

}
