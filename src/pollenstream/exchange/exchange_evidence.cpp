#include <pollenstream/exchange/exchange.hpp>

// The part of an exchange that draws conclusions about targets and contents:
// what an answer says beside itself, and what a failure or a break may mean.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// How long a target that another one blames is left alone, here and at the
/// other instances; a helper that is gone leaves the registry within seconds.
constexpr auto rejection_ejection_time = core::duration( 1500ms );
/// The same for one that took no connection.
constexpr auto unreachable_ejection_time = core::duration( 1s );
constexpr auto first_failure_status = 500;

}

/// Takes over what the target says of itself beside its answer.
auto exchange::note_reported_state( target_attempt const& from,
                                    answer_head const& head ) -> void
{
    auto const& target = from.target;
    context_.crashes.note_answer( target, from.sent_at );
    if ( head.wants_pause > core::duration( 0 ) )
        context_.loads.pause( target, from.last_heard_at + head.wants_pause );
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

/// A failure says nothing of a limit where it names none.
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

/// What has been served is no suspect any more, here and at the others.
auto exchange::note_served() -> void
{
    auto const was_suspect =
        context_.crashes.note_served( content_, context_.scheduler.now() );
    if ( was_suspect || is_suspect_ )
        context_.announcer.suspect_served( content_ );
}

/// A target has proved that it did not run the request. Returns the target to
/// blame: the answering one, or a helper that it names.
auto exchange::note_rejection( target_attempt const& from ) -> target_ref
{
    auto const& head = *from.head;
    auto const now = context_.scheduler.now();
    auto const named = head.at_fault.empty()
                           ? nullptr
                           : context_.loads.find_by_name( head.at_fault );
    auto at_fault = named ? named->ref() : from.target;
    if ( head.wrong_target || at_fault != from.target )
    {
        // Gone, or of no use to others: certain at once, and for all.
        context_.loads.eject( at_fault, now + rejection_ejection_time );
        context_.announcer.target_ejected( at_fault, rejection_ejection_time );
    }
    else
    {
        if ( needs_engine() )
            context_.announcer.target_failed( at_fault,
                                              target_failure::turned_away );
        else if ( context_.loads.note_failure( at_fault, now,
                                               target_failure::turned_away ) )
            context_.announcer.target_ejected( at_fault,
                                               rejection_ejection_time );
    }
    return at_fault;
}

/// Takes a failure over on the board, and tells those who place prompts.
auto exchange::note_failure( target_ref const& target ) -> void
{
    context_.loads.note_failure( target, context_.scheduler.now() );
    if ( needs_engine() )
        context_.announcer.target_failed( target, target_failure::failed );
}

/// Takes over that the answer has not come to its end.
auto exchange::note_broken_attempt( target_attempt const& which,
                                    attempt_end const& end ) -> void
{
    note_failure( which.target );
    if ( end.sent )
        return note_crash( which.target, end.error );
    // Nobody listens there: stronger evidence than a broken answer.
    if ( context_.loads.note_failure( which.target, context_.scheduler.now() ) )
        context_.announcer.target_ejected( which.target,
                                           unreachable_ejection_time );
    --targets_reached_;
    ++connects_failed_;
}

/// A connection that ends before its answer may mean that the target has ended,
/// and by this request. Silence does not: what has ended closes its
/// connections.
auto exchange::note_crash( target_ref const& target, core::error const& why )
    -> void
{
    if ( why.code != core::error_code::connection_lost )
        return;
    auto const run = crashed_run{ content_, target, context_.scheduler.now() };
    context_.crashes.note_crash( run );
    context_.announcer.run_crashed( run );
}

}
