#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

// Member functions of peer_group that tell the whole state of this instance at
// intervals, and notice others that are silent.

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Bounds of the period at which complete messages go to the coordinators. It
/// grows with the number of instances to limit the load on the coordinators.
constexpr auto min_heartbeat_period = core::duration( 250ms );
constexpr auto max_heartbeat_period = core::duration( 500ms );
constexpr auto heartbeat_period_per_peer = core::duration( 5ms );
/// Number of other instances' addresses in each complete message.
constexpr auto max_gossiped_ips = std::size_t{ 8 };
/// An address without a known instance is tried for this long.
constexpr auto contact_time = core::duration( 20s );
/// Coordinators report an instance as silent until it was last heard this long
/// ago: longer than short cuts last, behind which the report is missed.
constexpr auto silent_report_time = core::duration( 8s );
constexpr auto max_silent_reports = std::size_t{ 32 };

auto silent_report( peer const& p, core::instant now ) -> silent_instance
{
    return { p.id, p.incarnation, core::milliseconds_of( now - p.last_heard ) };
}

}

/// Sends all open work to those that have become coordinators since the last
/// call, as only coordinators receive changes of open work.
auto peer_group::inform_new_coordinators() -> void
{
    auto current = coordinators();
    for ( auto const& id : current )
        if ( id != self_.id && std::find( informed_coordinators_.begin(),
                                          informed_coordinators_.end(),
                                          id ) == informed_coordinators_.end() )
            send_to_peer( id, message_for_new_coordinator() );
    informed_coordinators_ = std::move( current );
}

auto peer_group::heartbeat_period() const -> core::duration
{
    return std::clamp( heartbeat_period_per_peer *
                           static_cast<int>( peers().size() ),
                       min_heartbeat_period, max_heartbeat_period );
}

auto peer_group::complete_message() -> peer_message
{
    auto message = state_message();
    message.complete = true;
    message.work = load_table_.works_of( self_.id, scheduler_.now() );
    if ( handler_ != nullptr )
        message.undecided = handler_->undecided();
    message.silent = silent_to_report();
    message.known_ips = next_gossip_ips();
    add_target_updates( message );
    return message;
}

auto peer_group::message_for_new_coordinator() -> peer_message
{
    auto message = complete_message();
    message.crashes.clear();
    for ( auto const& run : crashes_.all() )
        message.crashes.push_back( crash_to_send( run ) );
    return message;
}

auto peer_group::send_heartbeat() -> void
{
    if ( !pending_.cleared.empty() )
        arm_flush();
    auto const message = complete_message();
    if ( table_.is_coordinator( scheduler_.now() ) || peers().empty() )
    {
        send_to_all( message );
    }
    else
    {
        send_to_coordinators( message );
        send_to_next_in_round();
    }
    informed_coordinators_ = coordinators();
    check_silent_peers();
    update_limit_shares();
    update_keeper();
}

/// Sends this instance's state to the next peers of the round, and to addresses
/// without a known instance, so that these answer.
auto peer_group::send_to_next_in_round() -> void
{
    auto const bytes = encode( state_message() );
    for ( auto const& [ip, since] : unconfirmed_ips_ )
        send( ip, bytes );
    auto const count = peers().size();
    auto const part_of_round = core::seconds_of( heartbeat_period() ) /
                               core::seconds_of( table_.round_time() );
    auto const batch =
        std::min( count, static_cast<std::size_t>( std::ceil(
                             part_of_round * static_cast<double>( count ) ) ) );
    auto at = peers().begin();
    std::advance( at, count == 0 ? 0 : next_round_peer_ % count );
    for ( auto i = std::size_t{ 0 }; i < batch; ++i )
    {
        send( at->second.ip, bytes );
        if ( ++at == peers().end() )
            at = peers().begin();
    }
    next_round_peer_ = count == 0 ? 0 : ( next_round_peer_ + batch ) % count;
}

/// The peers that have been silent for a short time. A coordinator repeats its
/// report of them, since others may miss the first one and notice late.
auto peer_group::silent_to_report() const -> std::vector<silent_instance>
{
    auto const now = scheduler_.now();
    auto reports = std::vector<silent_instance>{};
    if ( !table_.is_coordinator( now ) )
        return reports;
    for ( auto const& [id, p] : peers() )
        if ( !p.alive && now - p.last_heard < silent_report_time &&
             reports.size() < max_silent_reports )
            reports.push_back( silent_report( p, now ) );
    return reports;
}

auto peer_group::next_gossip_ips() -> std::vector<std::string>
{
    auto alive = std::vector<std::string>{};
    for ( auto const& [id, p] : peers() )
        if ( p.alive )
            alive.push_back( p.ip );
    auto chosen = std::vector<std::string>{};
    for ( auto i = std::size_t{ 0 };
          i < std::min( alive.size(), max_gossiped_ips ); ++i )
        chosen.push_back( alive[next_gossip_ip_++ % alive.size()] );
    return chosen;
}

auto peer_group::check_silent_peers() -> void
{
    auto const now = scheduler_.now();
    auto const silent = table_.detect_silent_peers( now, heartbeat_period() );
    auto message = base_message();
    for ( auto const& id : silent )
    {
        handle_lost_peer( id, "no messages received in time" );
        message.silent.push_back( silent_report( *table_.find( id ), now ) );
    }
    if ( !silent.empty() && table_.is_coordinator( now ) )
        send_to_all( message );
    table_.remove_long_silent( now );
    if ( known_addresses_.forget_old( now ) && on_size_changed )
        on_size_changed();
    std::erase_if( unconfirmed_ips_,
                   [now]( auto const& entry )
                   {
                       return now - entry.second > contact_time;
                   } );
}

}
