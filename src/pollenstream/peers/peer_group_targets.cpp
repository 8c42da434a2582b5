#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>
#include <chrono>

// The part of what instances tell each other that is about targets: failures,
// leaving, and contents under which targets end.

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// What was seen here of a target's end or leaving stands in all complete
/// messages for this long.
constexpr auto told_time = core::duration( 3s );

}

auto peer_group::target_failed( exchange::target_ref const& ref,
                                exchange::target_failure how ) -> void
{
    // This instance may place prompts too, and is told by nobody else.
    if ( how == exchange::target_failure::turned_away )
        board_.note_failure( ref, scheduler_.now(), how );
    pending_.failed.push_back( { ref, how } );
    arm_flush();
}

auto peer_group::target_shunned( exchange::target_ref const& ref,
                                 core::duration time ) -> void
{
    pending_.shunned.push_back( { ref, core::milliseconds_of( time ) } );
    tell_all_ = true;
    arm_flush();
}

auto peer_group::target_leaves( exchange::target_ref const& ref ) -> void
{
    own_leaving_.push_back( { ref, scheduler_.now() } );
    pending_.leaving_targets.push_back( ref );
    tell_all_ = true;
    arm_flush();
}

auto peer_group::run_crashed( exchange::crashed_run const& what ) -> void
{
    own_crashes_.push_back( what );
    pending_.crashes.push_back( told( what ) );
    arm_flush();
}

auto peer_group::suspect_served( exchange::content_id content ) -> void
{
    std::erase_if( own_crashes_,
                   [content]( auto const& run )
                   {
                       return run.content == content;
                   } );
    pending_.cleared.push_back( content );
    arm_flush();
}

auto peer_group::told( exchange::crashed_run const& what ) const -> told_crash
{
    return { what.content, what.target,
             core::milliseconds_of( scheduler_.now() - what.at ) };
}

auto peer_group::tell_quarantined( exchange::content_id content ) -> void
{
    if ( !table_.is_coordinator( scheduler_.now() ) )
        return;
    auto message = base_message();
    for ( auto const& run : crashes_.crashes_of( content ) )
        message.crashes.push_back( told( run ) );
    message.quarantined.push_back( content );
    send_to_all( message );
}

auto peer_group::take_crashes( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    for ( auto const& c : message.crashes )
        crashes_.note_crash( { c.content, c.target,
                               now - std::chrono::milliseconds( c.age_ms ) } );
    for ( auto const content : message.quarantined )
        crashes_.prove( content );
    auto to_all = base_message();
    for ( auto const content : message.cleared )
    {
        if ( crashes_.is_quarantined( content ) )
            to_all.cleared.push_back( content );
        crashes_.note_served( content, now );
    }
    if ( !to_all.cleared.empty() && table_.is_coordinator( now ) )
        send_to_all( to_all );
}

auto peer_group::take_leaving( peer_message const& message ) -> void
{
    for ( auto const& ref : message.leaving_targets )
        if ( board_.note_said_leaving( ref ) )
            log_.record( exchange::belief_changed{ "target",
                                                   ref.id.str(),
                                                   "leaving",
                                                   "its answer to " +
                                                       message.sender.str(),
                                                   {} } );
}

/// What ends its targets, for those that have missed it or have just started;
/// besides what was seen here lately of ends and of leaving.
auto peer_group::add_target_news( peer_message& message ) -> void
{
    auto const is_old = [now = scheduler_.now()]( auto const& one )
    {
        return now - one.at > told_time;
    };
    std::erase_if( own_crashes_, is_old );
    std::erase_if( own_leaving_, is_old );
    for ( auto const& run : crashes_.quarantined() )
    {
        message.crashes.push_back( told( run ) );
        auto const& last = message.quarantined;
        if ( last.empty() || last.back() != run.content )
            message.quarantined.push_back( run.content );
    }
    // Coordinators tell their messages to all, who need no more than that.
    if ( !table_.is_coordinator( scheduler_.now() ) )
        for ( auto const& run : own_crashes_ )
            message.crashes.push_back( told( run ) );
    for ( auto const& one : own_leaving_ )
        message.leaving_targets.push_back( one.target );
}

}
