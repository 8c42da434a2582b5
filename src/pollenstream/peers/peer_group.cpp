#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Changes of one instance's work go out together after this time. It bounds
/// how old the others' knowledge is, and what telling them costs.
constexpr auto flush_delay = core::duration( 8ms );
/// Work that reads for longer than this goes out at once: about a pass of
/// writing, the shortest time in which another one could be harmed by it.
constexpr auto told_at_once_ms = 50.0;
/// Complete messages go out this often, and more rarely the more instances
/// there are, so that one instance's cost stays about the same.
constexpr auto shortest_beat = core::duration( 250ms );
constexpr auto beat_per_peer = core::duration( 15ms );
/// Beats that may be missed before an instance is left out.
constexpr auto beats_to_silence = 4;
/// Instances that read the store; the others hear of its changes from them.
/// Three: one may be frozen, and the next cut off from the store.
constexpr auto store_readers = 3;
/// Without an answer of the store to any instance for this long, the next
/// ones in the order read too, one after the other. Operators give two seconds
/// for what the store says to be known everywhere.
constexpr auto stale_store = core::duration( 1200ms );
constexpr auto turn_time = core::duration( 60ms );
constexpr auto most_turns = 8;
/// An instance that was not heard for this long shares no budget any more.
constexpr auto forget_time = core::duration( 30s );
/// Addresses of others that each complete message passes on.
constexpr auto passed_on_ips = std::size_t{ 8 };
/// An address that never answered is tried this long.
constexpr auto try_time = core::duration( 20s );

}

peer_group::peer_group( own_state self,
                        std::vector<std::string> seed_ips,
                        ports::scheduler& scheduler,
                        datagram_sender& sender,
                        exchange::target_board& board,
                        exchange::event_log& log )
    : self_( std::move( self ) ), seed_ips_( std::move( seed_ips ) ),
      scheduler_( scheduler ), sender_( sender ), board_( board ), log_( log )
{
}

auto peer_group::start() -> void
{
    for ( auto const& ip : seed_ips_ )
        add_ip( ip );
    beat();
}

auto peer_group::set_ready( bool ready ) -> void
{
    if ( std::exchange( ready_, ready ) != ready )
        arm_flush();
}

auto peer_group::announce_leaving() -> void
{
    leaving_ = true;
    ready_ = false;
    auto const message = base_message();
    send_to_all( message );
    // Datagrams may be lost; callers that come here later are turned away.
    for ( auto const delay : { 40ms, 120ms, 300ms } )
        repeats_.push_back( scheduler_.call_after( delay,
                                                   [this]
                                                   {
                                                       send_to_all(
                                                           base_message() );
                                                   } ) );
}

auto peer_group::set_store_state( ports::store_revision at,
                                  core::duration age,
                                  core::duration served_for ) -> void
{
    known_until_ = at;
    store_age_ = age;
    store_served_ = served_for;
}

auto peer_group::others_served_for() const -> core::duration
{
    auto longest = core::duration( 0 );
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && scheduler_.now() - p.store_answered < stale_store )
            longest = std::max( longest, p.store_served );
    return longest;
}

auto peer_group::tell_update( std::string update ) -> void
{
    auto message = base_message();
    message.update = std::move( update );
    send_to_all( message );
}

auto peer_group::should_read_store() const -> bool
{
    auto const now = scheduler_.now();
    auto const own_rank = core::stable_hash( self_.id.str() );
    auto before = 0;
    auto youngest = core::duration::max();
    for ( auto const& [id, p] : peers_ )
    {
        if ( !p.alive || p.leaving )
            continue;
        before += core::stable_hash( id.str() ) < own_rank ? 1 : 0;
        youngest = std::min( youngest, now - p.store_answered );
    }
    if ( before < store_readers )
        return true;
    auto const turn = std::min( before - store_readers, most_turns );
    return youngest > stale_store + turn_time * turn;
}

auto peer_group::add_ip( std::string const& ip ) -> void
{
    if ( ip != self_.ip && !ip.empty() )
        extra_ips_.insert_or_assign( ip, scheduler_.now() );
}

auto peer_group::size() const -> std::size_t
{
    return peers_.size() + 1;
}

auto peer_group::better_informed( ports::store_revision at ) const
    -> peer const*
{
    auto better = std::vector<peer const*>{};
    for ( auto const& [id, p] : peers_ )
        if ( p.alive && p.known_until > at )
            better.push_back( &p );
    if ( better.empty() )
        return nullptr;
    // Each asks another one, so that none has to tell all: those who have
    // been told tell others.
    auto const draw = core::stable_hash( self_.id.str(), ++asked_ );
    return better[draw % better.size()];
}

auto peer_group::base_message() const -> peer_message
{
    auto message = peer_message{};
    message.sender = self_.id;
    message.incarnation = self_.incarnation;
    message.ip = self_.ip;
    message.place = self_.place;
    message.callers = self_.callers;
    message.known_until = known_until_;
    message.ready = ready_;
    message.leaving = leaving_;
    message.store_age_ms = core::milliseconds_of( store_age_ );
    message.store_served_ms = core::milliseconds_of( store_served_ );
    auto const now = scheduler_.now();
    auto const waiting = board_.wide().own( now );
    message.wide_waiting = waiting.count;
    if ( waiting.first_due )
        message.wide_due_ms = core::milliseconds_of( *waiting.first_due - now );
    return message;
}

auto peer_group::addresses() const -> std::vector<std::string>
{
    auto all = std::set<std::string>{};
    for ( auto const& [id, p] : peers_ )
        all.insert( p.ip );
    for ( auto const& [ip, since] : extra_ips_ )
        all.insert( ip );
    return { all.begin(), all.end() };
}

auto peer_group::send_to_all( peer_message const& message ) -> void
{
    auto const bytes = encode( message );
    for ( auto const& ip : addresses() )
        sender_.send( ip, bytes );
}

auto peer_group::work_began( exchange::open_work const& work ) -> void
{
    pending_.work.push_back( work );
    // What takes an engine up for long has to be known to the next one.
    if ( !work.parts.empty() && work.parts.front().read_ms > told_at_once_ms )
        return flush();
    arm_flush();
}

auto peer_group::reading_ended( std::uint64_t serial ) -> void
{
    pending_.reading_ended.push_back( serial );
    arm_flush();
}

auto peer_group::work_ended( std::uint64_t serial ) -> void
{
    pending_.ended.push_back( serial );
    arm_flush();
}

auto peer_group::waiting_changed() -> void
{
    arm_flush();
}

auto peer_group::target_shunned( exchange::target_ref const& ref,
                                 core::duration time ) -> void
{
    pending_.shunned.push_back( { ref, core::milliseconds_of( time ) } );
    arm_flush();
}

auto peer_group::arm_flush() -> void
{
    if ( !flush_call_ )
        flush_call_ = scheduler_.call_after( flush_delay,
                                             [this]
                                             {
                                                 auto const done =
                                                     std::move( flush_call_ );
                                                 flush();
                                             } );
}

auto peer_group::flush() -> void
{
    flush_call_.reset();
    auto message = base_message();
    message.work = std::exchange( pending_.work, {} );
    message.reading_ended = std::exchange( pending_.reading_ended, {} );
    message.ended = std::exchange( pending_.ended, {} );
    message.shunned = std::exchange( pending_.shunned, {} );
    send_to_all( message );
}

auto peer_group::beat_period() const -> core::duration
{
    if ( store_age_ < stale_store )
        return shortest_beat;
    return std::max( shortest_beat,
                     beat_per_peer * static_cast<int>( peers_.size() ) );
}

auto peer_group::complete_message() -> peer_message
{
    auto message = base_message();
    message.complete = true;
    message.work = board_.works_of( self_.id );
    message.known_ips = some_ips();
    return message;
}

/// An instance that has just started knows of no open work: it would choose
/// busy engines until the next beat, a quarter of a second later.
auto peer_group::send_complete_to( std::string const& ip ) -> void
{
    sender_.send( ip, encode( complete_message() ) );
}

auto peer_group::beat() -> void
{
    send_to_all( complete_message() );
    check_silent();
    beat_call_ = scheduler_.call_after( beat_period(),
                                        [this]
                                        {
                                            auto const done =
                                                std::move( beat_call_ );
                                            beat();
                                        } );
}

auto peer_group::some_ips() -> std::vector<std::string>
{
    auto alive = std::vector<std::string>{};
    for ( auto const& [id, p] : peers_ )
        if ( p.alive )
            alive.push_back( p.ip );
    auto chosen = std::vector<std::string>{};
    for ( auto i = std::size_t{ 0 };
          i < std::min( alive.size(), passed_on_ips ); ++i )
        chosen.push_back( alive[next_ip_++ % alive.size()] );
    return chosen;
}

auto peer_group::check_silent() -> void
{
    auto const now = scheduler_.now();
    auto const limit =
        std::max( shortest_beat,
                  beat_per_peer * static_cast<int>( peers_.size() ) ) *
        beats_to_silence;
    auto forgotten = std::vector<core::instance_id>{};
    for ( auto& [id, p] : peers_ )
    {
        auto const silent = now - p.heard;
        if ( p.alive && silent > limit )
        {
            p.alive = false;
            board_.end_all_work( id, now );
            note( p, "silent", "not heard" );
        }
        if ( silent > forget_time )
            forgotten.push_back( id );
    }
    for ( auto const& id : forgotten )
        peers_.erase( id );
    if ( !forgotten.empty() && on_size_changed )
        on_size_changed();
    std::erase_if( extra_ips_,
                   [now]( auto const& entry )
                   {
                       return now - entry.second > try_time;
                   } );
}

auto peer_group::note( peer const& which, std::string now, std::string because )
    -> void
{
    log_.record( exchange::belief_changed{
        "peer", which.id.str(), std::move( now ), std::move( because ),
        scheduler_.now() - which.heard } );
}

auto peer_group::on_datagram( std::string_view bytes ) -> void
{
    auto const message = decode( bytes );
    if ( message.has_error() || message.value().sender == self_.id )
        return;
    if ( !take_sender( message.value() ) )
        return;
    take_work( message.value() );
    if ( !message.value().update.empty() && on_update )
        on_update( message.value().sender.str(), message.value().update );
}

/// False where the message comes from a former process of its sender.
auto peer_group::take_sender( peer_message const& message ) -> bool
{
    auto const now = scheduler_.now();
    auto [at, is_new] = peers_.try_emplace( message.sender );
    auto& p = at->second;
    if ( !is_new && message.incarnation < p.incarnation )
        return false;
    auto const restarted = !is_new && message.incarnation > p.incarnation;
    if ( restarted )
        board_.end_all_work( message.sender, now );
    auto const was_alive = p.alive;
    auto const was_leaving = p.leaving;
    p.id = message.sender;
    p.incarnation = message.incarnation;
    p.ip = message.ip;
    p.place = message.place;
    p.callers = message.callers;
    p.known_until = std::max( p.known_until, message.known_until );
    p.store_served = std::chrono::milliseconds( message.store_served_ms );
    p.ready = message.ready;
    p.leaving = message.leaving;
    p.alive = true;
    p.heard = now;
    p.store_answered =
        std::max( p.store_answered,
                  now - std::chrono::milliseconds( message.store_age_ms ) );
    extra_ips_.erase( p.ip );
    if ( !was_alive )
        note( p, "alive", "heard" );
    if ( p.leaving && !was_leaving )
        note( p, "leaving", "it said so" );
    for ( auto const& ip : message.known_ips )
    {
        auto const is_known = std::any_of( peers_.begin(), peers_.end(),
                                           [&]( auto const& e )
                                           {
                                               return e.second.ip == ip;
                                           } );
        if ( !is_known )
            add_ip( ip );
    }
    if ( is_new && on_size_changed )
        on_size_changed();
    if ( is_new || restarted )
        send_complete_to( p.ip );
    return true;
}

auto peer_group::take_work( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    auto freed = !message.ended.empty() || !message.reading_ended.empty();
    auto waiting = exchange::wide_waiting{};
    waiting.count = message.wide_waiting;
    if ( message.wide_due_ms )
        waiting.first_due =
            now + std::chrono::milliseconds( *message.wide_due_ms );
    board_.wide().note( message.sender, waiting );
    for ( auto const& work : message.work )
        board_.add_work( message.sender, work, now );
    for ( auto const serial : message.reading_ended )
        board_.end_reading( message.sender, serial, now );
    for ( auto const serial : message.ended )
        board_.end_work( message.sender, serial, now );
    if ( message.complete )
    {
        auto open = std::set<std::uint64_t>{};
        for ( auto const& work : message.work )
            open.insert( work.serial );
        for ( auto const& work : board_.works_of( message.sender ) )
        {
            if ( open.contains( work.serial ) )
                continue;
            board_.end_work( message.sender, work.serial, now );
            freed = true;
        }
    }
    for ( auto const& s : message.shunned )
        board_.shun( s.target, now + std::chrono::milliseconds( s.time_ms ) );
    if ( freed && on_load_changed )
        on_load_changed();
}

}
