#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_limits.hpp>
#include <pollenstream/peers/peer_table.hpp>

#include <algorithm>
#include <chrono>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Time after its start for which an instance ranks behind all others. By its
/// end the others have sent it their open work.
constexpr auto warm_up_time = core::duration( 1s );
/// Missed heartbeats after which a peer is silent, if it or this instance is a
/// coordinator.
constexpr auto max_missed_heartbeats = 4;
/// Missed rounds after which a peer is silent otherwise: non-coordinators send
/// to each other only once in a round.
constexpr auto max_missed_rounds = 3;
constexpr auto round_time_per_peer = core::duration( 200ms );
/// A peer that was heard directly later than the reporter last heard it, by
/// more than this, is not marked as silent: a link between the two is cut. Two
/// instances hear the same peer up to one heartbeat apart.
constexpr auto direct_contact_time = core::duration( 600ms );
/// A silent peer is removed this long after it was last heard, and then no
/// longer counts in the division of limits among instances.
constexpr auto removal_time = core::duration( 30s );

}

peer_table::peer_table( own_state const& self, core::instant now )
    : self_( self.id ), capacity_( self.capacity ),
      rank_( core::stable_hash( self.id.str() ) ), started_( now )
{
}

auto peer_table::apply_message( peer_message const& message,
                                message_path path,
                                core::instant now ) -> peer_change
{
    auto change = peer_change{};
    auto const is_direct = path == message_path::direct;
    if ( peers_.size() >= max_peers && !peers_.contains( message.sender ) )
    {
        if ( is_direct )
            change.replaced = remove_unconfirmed();
        change.is_refused = !change.replaced;
    }
    if ( change.is_refused )
        return change;
    auto [at, is_new] = peers_.try_emplace( message.sender );
    auto& p = at->second;
    change.is_stale = !is_new && message.incarnation < p.incarnation;
    if ( change.is_stale )
        return change;
    change.is_new = is_new;
    change.is_restarted = !is_new && message.incarnation > p.incarnation;
    change.has_recovered = !is_new && !p.alive;
    change.is_cut_now = message.cut_from_targets && !p.cut_from_targets;
    change.starts_leaving = message.leaving && !p.leaving;
    if ( is_new )
        p.rank = core::stable_hash( message.sender.str() );
    if ( is_new || change.is_restarted )
        p.started = now - std::chrono::milliseconds( message.uptime_ms );
    if ( change.is_restarted || message.handover_key != core::handover_key{} )
        p.handover_key = message.handover_key;
    p.confirmed = p.confirmed && p.ip == message.ip;
    p.id = message.sender;
    p.incarnation = message.incarnation;
    p.ip = message.ip;
    if ( is_direct && !p.confirmed )
        confirm( p );
    p.data_centre = message.data_centre;
    p.callers = message.callers;
    p.known_until = std::max( p.known_until, message.known_until );
    p.store_served_for = std::chrono::milliseconds( message.store_served_ms );
    p.capacity = message.capacity;
    p.ready = message.ready;
    p.leaving = message.leaving;
    p.cut_from_targets = message.cut_from_targets;
    p.target_answered_at =
        now - std::chrono::milliseconds( message.answered_age_ms );
    p.alive = true;
    p.last_heard = now;
    p.store_answered_at =
        std::max( p.store_answered_at,
                  now - std::chrono::milliseconds( message.store_age_ms ) );
    return change;
}

auto peer_table::remove_unconfirmed() -> std::optional<core::instance_id>
{
    auto longest = peers_.end();
    for ( auto at = peers_.begin(); at != peers_.end(); ++at )
    {
        auto const is_longer =
            longest == peers_.end() ||
            at->second.last_heard < longest->second.last_heard;
        if ( !at->second.confirmed && is_longer )
            longest = at;
    }
    if ( longest == peers_.end() )
        return std::nullopt;
    auto const id = longest->first;
    peers_.erase( longest );
    return id;
}

auto peer_table::confirm( peer& which ) -> void
{
    for ( auto& [id, p] : peers_ )
        if ( p.ip == which.ip )
            p.confirmed = false;
    which.confirmed = true;
}

auto peer_table::apply_silent_report( silent_instance const& which,
                                      core::instant now ) -> bool
{
    auto const found = peers_.find( which.id );
    if ( found == peers_.end() )
        return false;
    auto& p = found->second;
    auto const reporter_heard =
        now - std::chrono::milliseconds( which.unheard_ms );
    if ( !p.alive || p.incarnation > which.incarnation ||
         p.last_heard > reporter_heard + direct_contact_time )
        return false;
    p.alive = false;
    return true;
}

auto peer_table::round_time() const -> core::duration
{
    return round_time_per_peer *
           static_cast<int>( std::max<std::size_t>( 1, peers_.size() ) );
}

auto peer_table::detect_silent_peers( core::instant now,
                                      core::duration heartbeat_period )
    -> std::vector<core::instance_id>
{
    auto const current = coordinators( now );
    for ( auto const& id : current )
        coordinator_since_.try_emplace( id, now );
    std::erase_if( coordinator_since_,
                   [&]( auto const& entry )
                   {
                       return std::find( current.begin(), current.end(),
                                         entry.first ) == current.end();
                   } );
    auto const own_since = coordinator_since_.find( self_ );
    auto silent = std::vector<core::instance_id>{};
    for ( auto& [id, p] : peers_ )
    {
        if ( !p.alive )
            continue;
        auto since = p.last_heard;
        auto limit = std::max( heartbeat_period * max_missed_heartbeats,
                               round_time() * max_missed_rounds );
        auto const peer_since = coordinator_since_.find( id );
        // Coordinators exchange heartbeats with all instances, so that the
        // shorter limit applies if this instance or the peer is one. It counts
        // from when that one became a coordinator at the earliest.
        if ( own_since != coordinator_since_.end() ||
             peer_since != coordinator_since_.end() )
        {
            limit = heartbeat_period * max_missed_heartbeats;
            since = std::max( since, own_since != coordinator_since_.end()
                                         ? own_since->second
                                         : peer_since->second );
        }
        if ( now - since <= limit )
            continue;
        p.alive = false;
        silent.push_back( id );
    }
    return silent;
}

auto peer_table::remove_long_silent( core::instant now ) -> void
{
    std::erase_if( peers_,
                   [now]( auto const& entry )
                   {
                       auto const& p = entry.second;
                       return !p.alive && now - p.last_heard > removal_time;
                   } );
}

auto peer_table::find( core::instance_id const& id ) const -> peer const*
{
    auto const found = peers_.find( id );
    return found == peers_.end() ? nullptr : &found->second;
}

auto peer_table::has_ip( std::string const& ip ) const -> bool
{
    return std::any_of( peers_.begin(), peers_.end(),
                        [&]( auto const& entry )
                        {
                            return entry.second.ip == ip;
                        } );
}

auto peer_table::precedes( precedence const& a, precedence const& b ) -> bool
{
    if ( a.is_warming_up != b.is_warming_up )
        return b.is_warming_up;
    if ( a.capacity != b.capacity )
        return a.capacity > b.capacity;
    return a.rank < b.rank;
}

auto peer_table::precedence_of( peer const& p, core::instant now ) const
    -> precedence
{
    return { now - p.started < warm_up_time, p.capacity, p.rank, &p.id };
}

auto peer_table::own_precedence( core::instant now ) const -> precedence
{
    return { !has_warmed_up( now ), capacity_, rank_, &self_ };
}

auto peer_table::has_warmed_up( core::instant now ) const -> bool
{
    return now - started_ >= warm_up_time;
}

auto peer_table::coordinators( core::instant now ) const
    -> std::vector<core::instance_id>
{
    auto all = std::vector<precedence>{};
    all.reserve( peers_.size() + 1 );
    if ( !leaving_ )
        all.push_back( own_precedence( now ) );
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && !p.leaving )
            all.push_back( precedence_of( p, now ) );
    auto const count =
        std::min( all.size(), std::size_t{ number_of_coordinators } );
    std::partial_sort( all.begin(),
                       all.begin() + static_cast<std::ptrdiff_t>( count ),
                       all.end(), precedes );
    auto result = std::vector<core::instance_id>{};
    for ( auto i = std::size_t{ 0 }; i < count; ++i )
        result.push_back( *all[i].id );
    return result;
}

auto peer_table::is_coordinator( core::instant now ) const -> bool
{
    return !leaving_ && own_position( now ) < number_of_coordinators;
}

auto peer_table::own_position( core::instant now ) const -> int
{
    auto const own = own_precedence( now );
    return static_cast<int>(
        std::count_if( peers_.begin(), peers_.end(),
                       [&]( auto const& entry )
                       {
                           auto const& p = entry.second;
                           return p.alive && !p.leaving &&
                                  precedes( precedence_of( p, now ), own );
                       } ) );
}

auto peer_table::min_store_age( core::instant now ) const -> core::duration
{
    auto min_age = core::duration::max();
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && !p.leaving )
            min_age = std::min( min_age, now - p.store_answered_at );
    return min_age;
}

}
