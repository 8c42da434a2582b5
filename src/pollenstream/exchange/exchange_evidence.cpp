#include <pollenstream/exchange/exchange.hpp>

// Member functions of exchange that update the known state of targets and
// contents, from the headers of answers and from failures.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// How long a target is ejected, at all instances, after an answer has shown
/// that it is at fault. A helper that has ended leaves the registry within
/// seconds, so a short time is enough.
constexpr auto fault_ejection_time = core::duration( 1500ms );
/// How long a target that accepts no connection is ejected.
constexpr auto unreachable_ejection_time = core::duration( 1s );
/// A part of a prompt that crashes targets does so as they begin to answer.
/// Once an answer has gone on for this time, the parts are sound.
constexpr auto sound_answer_time = core::duration( 500ms );
/// Instances see the same crash up to this time apart.
constexpr auto crash_skew = core::duration( 50ms );

}

/// Records what the headers of an answer say about the target itself.
auto exchange::note_reported_state( target_attempt const& from,
                                    answer_head const& head ) -> void
{
    auto const& target = from.target;
    context_.crashes.note_answer( target, from.sent_at );
    if ( head.requested_pause > core::duration( 0 ) )
        context_.loads.pause( target,
                              from.last_heard_at + head.requested_pause );
    note_reported_limit( from, head );
    for ( auto const& name : head.unknown_headers )
        if ( context_.counters.unknown_headers.add( name ) )
            context_.log.record( state_change{ "header",
                                               name,
                                               "unknown",
                                               "answer of " + target.id.str(),
                                               {} } );
    if ( !head.announces_leaving ||
         !context_.loads.note_announced_leaving( target ) )
        return;
    context_.log.record( state_change{
        "target", target.id.str(), "leaving", "its own answer", {} } );
    context_.announcer.target_leaves( target );
}

/// Records the rate limit in the headers of an answer. A missing limit means
/// that there is none, except in a failure or in an answer without a digest.
auto exchange::note_reported_limit( target_attempt const& from,
                                    answer_head const& head ) -> void
{
    auto const& target = from.target;
    if ( head.has_invalid_limit && context_.loads.note_invalid_limit( target ) )
        context_.log.record( state_change{ "target",
                                           target.id.str(),
                                           "limit_unreadable",
                                           "its own answer",
                                           {} } );
    auto const states_limit =
        head.limit || ( head.has_seal && head.status < first_failure_status &&
                        !head.has_invalid_limit );
    if ( !states_limit )
        return;
    auto const change = context_.loads.note_limit(
        target, { head.limit, from.sent_at, from.last_heard_at },
        from.last_heard_at );
    if ( change == limit_change::none )
        return;
    context_.announcer.target_limited( target, change );
    context_.log.record(
        limit_state_change( target, change, head.limit, "its own answer" ) );
}

/// Clears the suspects of a served request, at all instances. Coordinators are
/// told of the parts of all prompts, since they may hear of a crash later.
auto exchange::note_served( suspect_list const& suspects ) -> void
{
    auto const was_suspect =
        context_.crashes.note_served( suspects, context_.scheduler.now() );
    auto const is_urgent = was_suspect || is_suspect_;
    if ( is_urgent )
        context_.announcer.suspects_served( suspects, true );
    else if ( !parts_are_sound_ )
        context_.announcer.suspects_served( prompt_parts_of( suspects ),
                                            false );
}

auto exchange::proves_parts_sound( target_attempt const& from ) const -> bool
{
    return from.events > 0 &&
           context_.scheduler.now() - from.first_event_at >= sound_answer_time;
}

auto exchange::note_sound_parts( target_attempt const& from ) -> void
{
    auto const parts = prompt_parts_of( suspects_ );
    if ( parts.empty() || !proves_parts_sound( from ) )
        return;
    note_served( parts );
    parts_are_sound_ = true;
}

/// Records that a target has proved it did not run the request. Returns the
/// target at fault: the one that answered, or a helper that it names.
auto exchange::note_rejection( target_attempt const& from ) -> target_ref
{
    auto const& head = *from.head;
    auto const now = context_.scheduler.now();
    auto const named = head.failed_target.empty()
                           ? nullptr
                           : context_.loads.find_by_name( head.failed_target );
    auto at_fault = named ? named->ref() : from.target;
    if ( head.wrong_target || at_fault != from.target )
    {
        // The target has ended or is of no use to any instance. One answer is
        // proof, so it is ejected everywhere at once.
        if ( context_.loads.eject( at_fault, now, now + fault_ejection_time ) )
            record_ejection( at_fault );
        context_.announcer.target_ejected( at_fault, fault_ejection_time );
    }
    else
    {
        if ( needs_engine() )
            context_.announcer.target_failed( at_fault,
                                              target_failure::turned_away );
        else if ( context_.loads.note_failure( at_fault, now,
                                               target_failure::turned_away ) )
        {
            record_ejection( at_fault );
            context_.announcer.target_ejected( at_fault, fault_ejection_time );
        }
    }
    return at_fault;
}

/// Records a failure in the load table, and reports the failure of an engine to
/// the coordinators.
auto exchange::note_failure( target_ref const& target ) -> void
{
    if ( context_.loads.note_failure( target, context_.scheduler.now() ) )
        record_ejection( target );
    if ( needs_engine() )
        context_.announcer.target_failed( target, target_failure::failed );
}

auto exchange::record_ejection( target_ref const& target ) -> void
{
    context_.log.record( ejection_state_change( target, context_.self.str() ) );
}

/// Records a failure that may be one of the network path of this instance. The
/// coordinators hear of it once another target has answered.
auto exchange::note_path_failure( target_ref const& target ) -> void
{
    auto const now = context_.scheduler.now();
    if ( context_.loads.note_failure( target, now ) )
        record_ejection( target );
    context_.path.note_failure( target.id, now );
    if ( !needs_engine() )
        return;
    context_.path.report_when_sound( now,
                                     [&announcer = context_.announcer, target]
                                     {
                                         announcer.target_failed(
                                             target, target_failure::failed );
                                     } );
}

/// Records that an attempt ended without a complete answer.
auto exchange::note_broken_attempt( target_attempt const& which,
                                    attempt_end const& end ) -> void
{
    // An invalid answer has arrived, so the network path is sound.
    if ( end.error.code == core::error_code::malformed )
        return note_failure( which.target );
    note_path_failure( which.target );
    if ( end.sent )
        return note_crash( which, end.error );
    // Nothing was sent, so nothing listens there. This is stronger evidence
    // than a broken answer and counts as a second failure.
    auto const is_ejected =
        context_.loads.note_failure( which.target, context_.scheduler.now() );
    if ( is_ejected )
    {
        record_ejection( which.target );
        context_.path.report_when_sound(
            context_.scheduler.now(),
            [&announcer = context_.announcer, target = which.target]
            {
                announcer.target_ejected( target, unreachable_ejection_time );
            } );
    }
    --targets_reached_;
    if ( which.is_retry )
        context_.retries.give_back( demand_.service );
    ++connects_failed_;
}

/// Records a possible crash. A connection that closes before the answer is
/// complete may mean that this request ended the target's process. Silence does
/// not, because the connections of a process that has ended are closed.
auto exchange::note_crash( target_attempt const& which, core::error const& why )
    -> void
{
    if ( why.code != core::error_code::connection_lost )
        return;
    auto const now = context_.scheduler.now();
    auto run = crashed_run{ suspects_, which.target, now };
    if ( proves_parts_sound( which ) )
    {
        auto const parts = prompt_parts_of( suspects_ );
        run.suspects = { suspect_of( content_ ) };
        context_.crashes.note_served( parts, now + crash_skew );
        context_.announcer.suspects_served( parts, true );
    }
    context_.crashes.note_crash( run );
    context_.path.report_when_sound( run.at,
                                     [&announcer = context_.announcer, run]
                                     {
                                         announcer.run_crashed( run );
                                     } );
}

}
