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
constexpr auto blamed_time = core::duration( 1500ms );
/// The same for one that took no connection.
constexpr auto unreachable_time = core::duration( 1s );
constexpr auto first_failure_status = 500;

}

/// Takes over what the target says of itself beside its answer.
auto exchange::note_told_state( target_attempt const& from,
                                answer_head const& head ) -> void
{
    auto const& target = from.target;
    shared_.crashes.note_answer( target, from.sent_at );
    if ( head.requested_pause > core::duration( 0 ) )
        shared_.loads.pause( target, from.heard_at + head.requested_pause );
    note_told_limit( from, head );
    for ( auto const& name : head.unknown_headers )
        if ( shared_.counters.unknown_headers.add( name ) )
            shared_.log.record( state_change{ "header",
                                              name,
                                              "unknown",
                                              "answer of " + target.id.str(),
                                              {} } );
    if ( !head.announces_leaving ||
         !shared_.loads.note_announced_leaving( target ) )
        return;
    shared_.log.record( state_change{
        "target", target.id.str(), "leaving", "its own answer", {} } );
    shared_.announcer.target_leaves( target );
}

/// A failure says nothing of a limit where it names none.
auto exchange::note_told_limit( target_attempt const& from,
                                answer_head const& head ) -> void
{
    auto const& target = from.target;
    if ( head.has_invalid_limit && shared_.loads.note_invalid_limit( target ) )
        shared_.log.record( state_change{ "target",
                                          target.id.str(),
                                          "limit_unreadable",
                                          "its own answer",
                                          {} } );
    auto const is_whole_statement =
        head.limit || ( head.has_seal && head.status < first_failure_status &&
                        !head.has_invalid_limit );
    if ( !is_whole_statement )
        return;
    auto const change = shared_.loads.note_limit(
        target, { head.limit, from.sent_at, from.heard_at }, from.heard_at );
    if ( change == limit_change::none )
        return;
    shared_.announcer.target_limited( target, change );
    shared_.log.record(
        limit_state_change( target, change, head.limit, "its own answer" ) );
}

/// What has been served is no suspect any more, here and at the others.
auto exchange::note_served() -> void
{
    auto const was_suspect =
        shared_.crashes.note_served( content_, shared_.scheduler.now() );
    if ( was_suspect || is_suspect_ )
        shared_.announcer.suspect_served( content_ );
}

/// A target has proved that it did not run the request. Returns the target to
/// blame: the answering one, or a helper that it names.
auto exchange::blame( target_attempt const& from ) -> target_ref
{
    auto const& head = *from.head;
    auto const now = shared_.scheduler.now();
    auto const named = head.failed_target.empty()
                           ? nullptr
                           : shared_.loads.find_by_name( head.failed_target );
    auto to_blame = named ? named->ref() : from.target;
    if ( head.wrong_target || to_blame != from.target )
    {
        // Gone, or of no use to others: certain at once, and for all.
        shared_.loads.eject( to_blame, now + blamed_time );
        shared_.announcer.target_ejected( to_blame, blamed_time );
    }
    else
    {
        if ( needs_engine() )
            shared_.announcer.target_failed( to_blame,
                                             target_failure::turned_away );
        else if ( shared_.loads.note_failure( to_blame, now,
                                              target_failure::turned_away ) )
            shared_.announcer.target_ejected( to_blame, blamed_time );
    }
    return to_blame;
}

/// Takes a failure over on the board, and tells those who place prompts.
auto exchange::note_failure( target_ref const& target ) -> void
{
    shared_.loads.note_failure( target, shared_.scheduler.now() );
    if ( needs_engine() )
        shared_.announcer.target_failed( target, target_failure::failed );
}

/// Takes over that the answer has not come to its end.
auto exchange::note_break( target_attempt const& which, attempt_end const& end )
    -> void
{
    note_failure( which.target );
    if ( end.sent )
        return note_crash( which.target, end.error );
    // Nobody listens there: stronger evidence than a broken answer.
    if ( shared_.loads.note_failure( which.target, shared_.scheduler.now() ) )
        shared_.announcer.target_ejected( which.target, unreachable_time );
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
    auto const what = crashed_run{ content_, target, shared_.scheduler.now() };
    shared_.crashes.note_crash( what );
    shared_.announcer.run_crashed( what );
}

}
