#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/peer_limits.hpp>

#include <algorithm>
#include <chrono>

// The parts of `peer_group` that concern targets: failures, limits, targets
// that leave, and what crashes targets.

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
/// Maximum number of quarantines in one complete message; more take turns.
constexpr auto max_quarantines_per_message = std::size_t{ 16 };
/// An instance that is no coordinator lifts a quarantine that no coordinator
/// has repeated for this time.
constexpr auto quarantine_repeat_time = core::duration( 5s );
/// Number of served suspects that are collected for the next message.
constexpr auto max_cleared_to_collect = std::size_t{ 128 };
/// Part of its equal share of a limit that an instance may use without a grant
/// of a coordinator. It is small because the uncoordinated requests of several
/// instances may coincide.
constexpr auto uncoordinated_share = 0.25;

/// False for a target that no store lists.
auto has_short_id( exchange::target_ref const& target ) -> bool
{
    return target.id.str().size() <= max_target_id_bytes;
}

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

/// The parts of prompts that have been served go with the next message, since
/// most are no suspects.
auto peer_group::suspects_served( exchange::suspect_list const& suspects,
                                  bool is_urgent ) -> void
{
    auto const is_cleared = [&suspects]( auto const id )
    {
        return exchange::contains_all( suspects, { id } );
    };
    for ( auto& run : own_crashes_ )
        std::erase_if( run.suspects, is_cleared );
    std::erase_if( own_crashes_,
                   []( auto const& run )
                   {
                       return run.suspects.empty();
                   } );
    auto& cleared = pending_.cleared;
    for ( auto const id : suspects )
        if ( std::find( cleared.begin(), cleared.end(), id ) == cleared.end() )
            cleared.push_back( id );
    if ( is_urgent || cleared.size() >= max_cleared_to_collect )
        arm_flush();
}

auto peer_group::crash_to_send( exchange::crashed_run const& what ) const
    -> crash_update
{
    return { what.suspects, what.target,
             core::milliseconds_of( scheduler_.now() - what.at ) };
}

auto peer_group::quarantine_to_send(
    exchange::quarantined_group const& group ) const -> quarantine_update
{
    auto const age_ms = [now = scheduler_.now()]( core::instant at )
    {
        return core::milliseconds_of( now - at );
    };
    auto update = quarantine_update{ group.suspects,
                                     {},
                                     group.trials.step(),
                                     age_ms( group.trials.since() ),
                                     group.has_crash_times };
    for ( auto const& crash : group.crashes )
        update.crashes.push_back( { crash.target, age_ms( crash.at ) } );
    return update;
}

auto peer_group::broadcast_quarantined(
    exchange::quarantined_group const& group ) -> void
{
    if ( !table_.is_coordinator( scheduler_.now() ) )
        return;
    auto message = base_message();
    message.quarantined.push_back( quarantine_to_send( group ) );
    send_to_all( message );
}

auto peer_group::apply_crashes( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    for ( auto const& c : message.crashes )
        if ( has_short_id( c.target ) )
            crashes_.note_crash(
                { c.suspects, c.target,
                  now - std::chrono::milliseconds( c.age_ms ) } );
    apply_quarantines( message );
    apply_cleared( message );
}

auto peer_group::apply_quarantines( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    for ( auto const& update : message.quarantined )
    {
        auto const ago = [now]( std::int64_t ms )
        {
            return now - std::chrono::milliseconds( ms );
        };
        auto group = exchange::quarantined_group{
            update.suspects,
            {},
            exchange::trial_schedule( ago( update.trial_age_ms ),
                                      update.trial_step ),
            update.has_crash_times };
        for ( auto const& crash : update.crashes )
            if ( has_short_id( crash.target ) )
                group.crashes.push_back(
                    { crash.target, ago( crash.age_ms ) } );
        crashes_.adopt( group, now );
    }
    // Coordinators repeat their quarantines, and lift those that were a
    // mistake.
    if ( message.complete && is_from_coordinator( message ) &&
         !table_.is_coordinator( now ) )
        crashes_.lift_not_adopted_since( now - quarantine_repeat_time );
}

auto peer_group::is_from_coordinator( peer_message const& message ) const
    -> bool
{
    auto const all = coordinators();
    return std::find( all.begin(), all.end(), message.sender ) != all.end();
}

/// A coordinator tells all others of quarantined suspects that were served.
auto peer_group::apply_cleared( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    auto broadcast = base_message();
    for ( auto const id : message.cleared )
        if ( crashes_.is_member( id ) )
            broadcast.cleared.push_back( id );
    crashes_.note_served( message.cleared, now );
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

auto peer_group::add_quarantines( peer_message& message ) -> void
{
    auto const groups = crashes_.quarantined();
    auto const count = std::min( groups.size(), max_quarantines_per_message );
    for ( auto i = std::size_t{ 0 }; i < count; ++i )
        message.quarantined.push_back(
            quarantine_to_send( groups[next_quarantine_++ % groups.size()] ) );
}

/// Adds the quarantines, for instances that missed them or have just started,
/// and the crashes, leaving targets and limits that this instance knows of.
auto peer_group::add_target_updates( peer_message& message ) -> void
{
    auto const is_old = [now = scheduler_.now()]( auto const& one )
    {
        return now - one.at > retransmit_time;
    };
    std::erase_if( own_crashes_, is_old );
    std::erase_if( own_leaving_targets_, is_old );
    add_quarantines( message );
    // Only coordinators need crashes of what is not quarantined; the messages
    // of a coordinator go to all instances.
    if ( !table_.is_coordinator( scheduler_.now() ) )
        for ( auto const& run : own_crashes_ )
            message.crashes.push_back( crash_to_send( run ) );
    for ( auto const& one : own_leaving_targets_ )
        message.leaving_targets.push_back( one.target );
    add_limits( message );
}

}
