#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_table.hpp>

#include <algorithm>
#include <chrono>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Time from its start in which an instance is young: all have then told it of
/// their work.
constexpr auto young_time = core::duration( 1s );
/// Messages that may be missed before an instance is left out.
constexpr auto beats_to_silence = 4;
/// The same for those who tell of themselves in turn.
constexpr auto rounds_to_silence = 3;
constexpr auto round_per_peer = core::duration( 200ms );
/// One that was heard directly within this time is not taken for silent because
/// another one has not heard it.
constexpr auto heard_lately = core::duration( 500ms );
/// An instance that was not heard for this long shares no budget any more.
constexpr auto forget_time = core::duration( 30s );

}

peer_table::peer_table( own_state const& self, core::instant now )
    : self_( self.id ), capacity_( self.capacity ),
      rank_( core::stable_hash( self.id.str() ) ), started_( now )
{
}

auto peer_table::take( peer_message const& message, core::instant now )
    -> peer_change
{
    auto change = peer_change{};
    auto [at, is_new] = peers_.try_emplace( message.sender );
    auto& p = at->second;
    change.is_former = !is_new && message.incarnation < p.incarnation;
    if ( change.is_former )
        return change;
    change.is_new = is_new;
    change.is_restarted = !is_new && message.incarnation > p.incarnation;
    change.is_back = !is_new && !p.alive;
    change.begins_to_leave = message.leaving && !p.leaving;
    if ( is_new )
        p.rank = core::stable_hash( message.sender.str() );
    if ( is_new || change.is_restarted )
        p.started = now - std::chrono::milliseconds( message.uptime_ms );
    p.id = message.sender;
    p.incarnation = message.incarnation;
    p.ip = message.ip;
    p.data_centre = message.data_centre;
    p.callers = message.callers;
    p.known_until = std::max( p.known_until, message.known_until );
    p.store_served = std::chrono::milliseconds( message.store_served_ms );
    p.capacity = message.capacity;
    p.ready = message.ready;
    p.leaving = message.leaving;
    p.alive = true;
    p.heard = now;
    p.store_answered =
        std::max( p.store_answered,
                  now - std::chrono::milliseconds( message.store_age_ms ) );
    return change;
}

auto peer_table::take_silence( silent_instance const& which, core::instant now )
    -> bool
{
    auto const found = peers_.find( which.id );
    if ( found == peers_.end() )
        return false;
    auto& p = found->second;
    if ( !p.alive || p.incarnation > which.incarnation ||
         now - p.heard < heard_lately )
        return false;
    p.alive = false;
    return true;
}

auto peer_table::round_time() const -> core::duration
{
    return round_per_peer *
           static_cast<int>( std::max<std::size_t>( 1, peers_.size() ) );
}

auto peer_table::find_silent( core::instant now, core::duration beat )
    -> std::vector<core::instance_id>
{
    auto const on_duty = coordinators( now );
    for ( auto const& id : on_duty )
        on_duty_since_.try_emplace( id, now );
    std::erase_if( on_duty_since_,
                   [&]( auto const& entry )
                   {
                       return std::find( on_duty.begin(), on_duty.end(),
                                         entry.first ) == on_duty.end();
                   } );
    auto const own = on_duty_since_.find( self_ );
    auto silent = std::vector<core::instance_id>{};
    for ( auto& [id, p] : peers_ )
    {
        if ( !p.alive )
            continue;
        auto since = p.heard;
        auto limit = std::max( beat * beats_to_silence,
                               round_time() * rounds_to_silence );
        auto const duty = on_duty_since_.find( id );
        // Who has a duty hears all others often, and is heard by all.
        if ( own != on_duty_since_.end() || duty != on_duty_since_.end() )
        {
            limit = beat * beats_to_silence;
            since =
                std::max( since, own != on_duty_since_.end() ? own->second
                                                             : duty->second );
        }
        if ( now - since <= limit )
            continue;
        p.alive = false;
        silent.push_back( id );
    }
    return silent;
}

auto peer_table::forget( core::instant now ) -> bool
{
    return std::erase_if( peers_,
                          [now]( auto const& entry )
                          {
                              auto const& p = entry.second;
                              return !p.alive && now - p.heard > forget_time;
                          } ) > 0;
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

auto peer_table::goes_before( standing const& a, standing const& b ) -> bool
{
    if ( a.is_young != b.is_young )
        return b.is_young;
    if ( a.capacity != b.capacity )
        return a.capacity > b.capacity;
    return a.rank < b.rank;
}

auto peer_table::standing_of( peer const& p, core::instant now ) const
    -> standing
{
    return { now - p.started < young_time, p.capacity, p.rank, &p.id };
}

auto peer_table::own_standing( core::instant now ) const -> standing
{
    return { now - started_ < young_time, capacity_, rank_, &self_ };
}

auto peer_table::coordinators( core::instant now ) const
    -> std::vector<core::instance_id>
{
    auto all = std::vector<standing>{};
    all.reserve( peers_.size() + 1 );
    if ( !leaving_ )
        all.push_back( own_standing( now ) );
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && !p.leaving )
            all.push_back( standing_of( p, now ) );
    auto const most =
        std::min( all.size(), std::size_t{ number_of_coordinators } );
    std::partial_sort( all.begin(),
                       all.begin() + static_cast<std::ptrdiff_t>( most ),
                       all.end(), goes_before );
    auto first = std::vector<core::instance_id>{};
    for ( auto i = std::size_t{ 0 }; i < most; ++i )
        first.push_back( *all[i].id );
    return first;
}

auto peer_table::is_coordinator( core::instant now ) const -> bool
{
    return !leaving_ && number_before( now ) < number_of_coordinators;
}

auto peer_table::number_before( core::instant now ) const -> int
{
    auto const own = own_standing( now );
    return static_cast<int>(
        std::count_if( peers_.begin(), peers_.end(),
                       [&]( auto const& entry )
                       {
                           auto const& p = entry.second;
                           return p.alive && !p.leaving &&
                                  goes_before( standing_of( p, now ), own );
                       } ) );
}

auto peer_table::youngest_answer( core::instant now ) const -> core::duration
{
    auto youngest = core::duration::max();
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && !p.leaving )
            youngest = std::min( youngest, now - p.store_answered );
    return youngest;
}

}
