#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>
#include <chrono>

// The parts of `peer_group` that concern targets: failures, limits, targets
// that leave, and contents that crash targets.

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Complete messages repeat the crashes and leaving targets that this instance
/// has seen for this long, since the first datagram may be lost.
constexpr auto retransmit_time = core::duration( 3s );
/// Maximum number of limits in one complete message; more limits take turns.
constexpr auto max_limits_per_message = std::size_t{ 40 };
/// Part of its equal share of a limit that an instance may use without a grant
/// of a coordinator. It is small because the uncoordinated requests of several
/// instances may coincide.
constexpr auto uncoordinated_share = 0.25;

}

auto peer_group::target_failed( exchange::target_ref const& ref,
                                exchange::target_failure how ) -> void
{
    // This instance may be a coordinator, and does not send to itself.
    if ( how == exchange::target_failure::turned_away )
        load_table_.note_failure( ref, scheduler_.now(), how );
    pending_.failed.push_back( { ref, how } );
    arm_flush();
}

auto peer_group::target_ejected( exchange::target_ref const& ref,
                                 core::duration time ) -> void
{
    pending_.ejected.push_back( { ref, core::milliseconds_of( time ) } );
    broadcast_pending_ = true;
    arm_flush();
}

auto peer_group::apply_failures( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    auto const record = [&]( exchange::target_ref const& target )
    {
        log_.record(
            exchange::ejection_state_change( target, message.sender.str() ) );
    };
    for ( auto const& f : message.failed )
        if ( load_table_.note_failure( f.target, now, f.failure ) )
            record( f.target );
    for ( auto const& e : message.ejected )
        if ( load_table_.eject(
                 e.target, now,
                 now + std::chrono::milliseconds( e.duration_ms ) ) )
            record( e.target );
}

auto peer_group::target_leaves( exchange::target_ref const& ref ) -> void
{
    own_leaving_targets_.push_back( { ref, scheduler_.now() } );
    pending_.leaving_targets.push_back( ref );
    broadcast_pending_ = true;
    arm_flush();
}

/// Informs the coordinators at once, since requests that are sent meanwhile
/// count against the limit, and all other instances with the next broadcast.
auto peer_group::target_limited( exchange::target_ref const& ref,
                                 exchange::limit_change change ) -> void
{
    using exchange::limit_change;
    if ( change == limit_change::started || change == limit_change::lowered )
        send_limit_to_coordinators( ref );
    pending_.limits.push_back( limit_to_send( ref ) );
    broadcast_pending_ = true;
    arm_flush();
}

/// Sends the limit together with the times of this instance's unreported
/// requests to the target, which count against the limit too.
auto peer_group::send_limit_to_coordinators( exchange::target_ref const& ref )
    -> void
{
    auto const now = scheduler_.now();
    auto limit = limit_to_send( ref );
    for ( auto const at : load_table_.take_unreported( ref, now ) )
        limit.unreported_ages_ms.push_back( core::milliseconds_of( now - at ) );
    auto message = base_message();
    message.limits.push_back( std::move( limit ) );
    send_to_coordinators( message );
}

auto peer_group::limit_to_send( exchange::target_ref const& ref ) const
    -> limit_update
{
    auto const now = scheduler_.now();
    auto const held = load_table_.find_lifetime( ref )->limit.current_report();
    return { ref, held.per_second, core::milliseconds_of( now - held.sent_at ),
             core::milliseconds_of( now - held.heard_at ) };
}

auto peer_group::add_limits( peer_message& message ) -> void
{
    auto const limited = load_table_.limited();
    auto const count = std::min( limited.size(), max_limits_per_message );
    for ( auto i = std::size_t{ 0 }; i < count; ++i )
        message.limits.push_back(
            limit_to_send( limited[next_limit_++ % limited.size()] ) );
}

auto peer_group::apply_limits( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    auto const ago = [now]( std::int64_t ms )
    {
        return now - std::chrono::milliseconds( ms );
    };
    for ( auto const& l : message.limits )
    {
        auto const change = load_table_.note_limit(
            l.target,
            { l.per_second, ago( l.request_age_ms ), ago( l.answer_age_ms ) },
            now );
        auto times = std::vector<core::instant>{};
        for ( auto const age : l.unreported_ages_ms )
            times.push_back( ago( age ) );
        load_table_.note_sent( l.target, times );
        if ( change == exchange::limit_change::none )
            continue;
        log_.record( exchange::limit_state_change(
            l.target, change, l.per_second,
            "its answer to " + message.sender.str() ) );
        if ( change == exchange::limit_change::started )
            send_limit_to_coordinators( l.target );
    }
}

/// The active coordinator grants the whole of each limit. If it hears only a
/// minority of the instances, it grants just their share, since another active
/// coordinator may exist on the other side of a network partition.
auto peer_group::update_limit_shares() -> void
{
    auto known_instances = 1.0;
    auto alive_instances = 1.0;
    for ( auto const& [id, p] : table_.all() )
    {
        known_instances += p.leaving ? 0 : 1;
        alive_instances += p.leaving || !p.alive ? 0 : 1;
    }
    auto const hears_majority = alive_instances * 2 > known_instances;
    auto const phase = core::stable_fraction( self_.id.str() );
    load_table_.set_limit_shares(
        { hears_majority ? 1.0 : alive_instances / known_instances,
          uncoordinated_share / known_instances, phase,
          table_.has_warmed_up( scheduler_.now() ) } );
}

auto peer_group::run_crashed( exchange::crashed_run const& what ) -> void
{
    own_crashes_.push_back( what );
    pending_.crashes.push_back( crash_to_send( what ) );
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

auto peer_group::crash_to_send( exchange::crashed_run const& what ) const
    -> crash_update
{
    return { what.content, what.target,
             core::milliseconds_of( scheduler_.now() - what.at ) };
}

auto peer_group::broadcast_quarantined( exchange::content_id content ) -> void
{
    if ( !table_.is_coordinator( scheduler_.now() ) )
        return;
    auto message = base_message();
    for ( auto const& run : crashes_.crashes_of( content ) )
        message.crashes.push_back( crash_to_send( run ) );
    message.quarantined.push_back( content );
    send_to_all( message );
}

auto peer_group::apply_crashes( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    for ( auto const& c : message.crashes )
        crashes_.note_crash( { c.content, c.target,
                               now - std::chrono::milliseconds( c.age_ms ) } );
    for ( auto const content : message.quarantined )
        crashes_.confirm( content );
    auto broadcast = base_message();
    for ( auto const content : message.cleared )
    {
        if ( crashes_.is_quarantined( content ) )
            broadcast.cleared.push_back( content );
        crashes_.note_served( content, now );
    }
    if ( !broadcast.cleared.empty() && table_.is_coordinator( now ) )
        send_to_all( broadcast );
}

auto peer_group::apply_leaving_targets( peer_message const& message ) -> void
{
    for ( auto const& ref : message.leaving_targets )
        if ( load_table_.note_announced_leaving( ref ) )
            log_.record(
                exchange::state_change{ "target",
                                        ref.id.str(),
                                        "leaving",
                                        "its answer to " + message.sender.str(),
                                        {} } );
}

/// Adds the quarantined contents with their crashes, for instances that missed
/// them or have just started, and the crashes, leaving targets and limits that
/// this instance knows of.
auto peer_group::add_target_updates( peer_message& message ) -> void
{
    auto const is_old = [now = scheduler_.now()]( auto const& one )
    {
        return now - one.at > retransmit_time;
    };
    std::erase_if( own_crashes_, is_old );
    std::erase_if( own_leaving_targets_, is_old );
    for ( auto const& run : crashes_.quarantined() )
    {
        message.crashes.push_back( crash_to_send( run ) );
        auto const& last = message.quarantined;
        if ( last.empty() || last.back() != run.content )
            message.quarantined.push_back( run.content );
    }
    // Only coordinators need crashes of contents that are not quarantined; the
    // messages of a coordinator go to all instances.
    if ( !table_.is_coordinator( scheduler_.now() ) )
        for ( auto const& run : own_crashes_ )
            message.crashes.push_back( crash_to_send( run ) );
    for ( auto const& one : own_leaving_targets_ )
        message.leaving_targets.push_back( one.target );
    add_limits( message );
}

}
