#include <pollenstream/core/hash.hpp>
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
/// Limits that one message tells; more are told in turn.
constexpr auto most_told_limits = std::size_t{ 40 };
/// Part of its equal share of a limit that an instance may use without having
/// asked: what many draw for themselves may fall together.
constexpr auto uncoordinated_part = 0.25;

}

auto peer_group::target_failed( exchange::target_ref const& ref,
                                exchange::target_failure how ) -> void
{
    // This instance may place prompts too, and is told by nobody else.
    if ( how == exchange::target_failure::turned_away )
        load_table_.note_failure( ref, scheduler_.now(), how );
    pending_.failed.push_back( { ref, how } );
    arm_flush();
}

auto peer_group::target_ejected( exchange::target_ref const& ref,
                                 core::duration time ) -> void
{
    pending_.ejected.push_back( { ref, core::milliseconds_of( time ) } );
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

/// Those who place prompts go by it at once, as what is sent meanwhile counts
/// against the limit; all others with the next news.
auto peer_group::target_limited( exchange::target_ref const& ref,
                                 exchange::limit_change change ) -> void
{
    using exchange::limit_change;
    if ( change == limit_change::started || change == limit_change::lowered )
        tell_coordinators( ref );
    pending_.limits.push_back( told( ref ) );
    tell_all_ = true;
    arm_flush();
}

/// Besides what this instance has lately sent there: it counts too.
auto peer_group::tell_coordinators( exchange::target_ref const& ref ) -> void
{
    auto const now = scheduler_.now();
    auto limit = told( ref );
    for ( auto const at : load_table_.take_unreported( ref, now ) )
        limit.unreported_ages_ms.push_back( core::milliseconds_of( now - at ) );
    auto message = base_message();
    message.limits.push_back( std::move( limit ) );
    send_to_coordinators( message );
}

auto peer_group::told( exchange::target_ref const& ref ) const -> limit_update
{
    auto const now = scheduler_.now();
    auto const held = load_table_.find_lifetime( ref )->limit.current_report();
    return { ref, held.per_second, core::milliseconds_of( now - held.sent_at ),
             core::milliseconds_of( now - held.heard_at ) };
}

auto peer_group::add_limits( peer_message& message ) -> void
{
    auto const limited = load_table_.limited();
    auto const some = std::min( limited.size(), most_told_limits );
    for ( auto i = std::size_t{ 0 }; i < some; ++i )
        message.limits.push_back(
            told( limited[next_limit_++ % limited.size()] ) );
}

auto peer_group::take_limits( peer_message const& message ) -> void
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
            tell_coordinators( l.target );
    }
}

/// Who places for all hands out all of each limit, but where it hears only the
/// lesser part of the instances: it may be cut off from another one that does.
auto peer_group::share_limits() -> void
{
    auto known = 1.0;
    auto living = 1.0;
    for ( auto const& [id, p] : table_.all() )
    {
        known += p.leaving ? 0 : 1;
        living += p.leaving || !p.alive ? 0 : 1;
    }
    auto const hears_most = living * 2 > known;
    auto const phase =
        static_cast<double>( core::stable_hash( self_.id.str() ) >> 11U ) /
        static_cast<double>( std::uint64_t{ 1 } << 53U );
    load_table_.set_limit_shares( { hears_most ? 1.0 : living / known,
                                    uncoordinated_part / known, phase } );
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

auto peer_group::told( exchange::crashed_run const& what ) const -> crash_update
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
        crashes_.confirm( content );
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
        if ( load_table_.note_announced_leaving( ref ) )
            log_.record(
                exchange::state_change{ "target",
                                        ref.id.str(),
                                        "leaving",
                                        "its answer to " + message.sender.str(),
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
    add_limits( message );
}

}
