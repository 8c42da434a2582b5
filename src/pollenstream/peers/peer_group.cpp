#include <pollenstream/core/hash.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/peer_limits.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace pollenstream::peers
{

namespace
{

using namespace std::chrono_literals;

/// Changes of this instance's work are collected for this time and sent
/// together. Shorter keeps the coordinators more current, longer takes fewer
/// datagrams.
constexpr auto flush_delay = core::duration( 8ms );

}

peer_group::peer_group( own_state self,
                        std::vector<std::string> seed_ips,
                        ports::scheduler& scheduler,
                        datagram_sender& sender,
                        exchange::load_table& loads,
                        exchange::crash_history& crashes,
                        exchange::event_log& log )
    : self_( std::move( self ) ), seed_ips_( std::move( seed_ips ) ),
      scheduler_( scheduler ), sender_( sender ), load_table_( loads ),
      crashes_( crashes ), log_( log ), table_( self_, scheduler.now() ),
      started_( scheduler.now() ), heartbeats_(
                                       scheduler,
                                       [this]
                                       {
                                           return heartbeat_period();
                                       },
                                       [this]
                                       {
                                           send_heartbeat();
                                       } )
{
    reports_.on_gives_way = [this]( core::instance_id const& id )
    {
        note_reports_give_way( id );
    };
}

auto peer_group::start() -> void
{
    for ( auto const& ip : seed_ips_ )
        add_seed_ip( ip );
    greets_new_ips_ = true;
    heartbeats_.start();
}

auto peer_group::set_ready( bool ready ) -> void
{
    if ( std::exchange( ready_, ready ) == ready )
        return;
    broadcast_pending_ = true;
    arm_flush();
}

auto peer_group::announce_leaving() -> void
{
    leaving_ = true;
    ready_ = false;
    table_.set_leaving();
    broadcast_state();
}

auto peer_group::set_cut_from_targets( bool cut ) -> void
{
    if ( std::exchange( cut_from_targets_, cut ) != cut )
        broadcast_state();
}

auto peer_group::fleet_answered_at() const -> core::instant
{
    auto latest = own_target_answer_at_;
    for ( auto const& [id, p] : table_.all() )
        latest = std::max( latest, p.target_answered_at );
    return latest;
}

/// Sends the state of this instance to all others. Repeated, since datagrams
/// may be lost: an instance that gets none of them keeps naming this one to
/// callers, which are then turned away here.
auto peer_group::broadcast_state() -> void
{
    send_to_all( state_message() );
    retransmissions_.clear();
    for ( auto const delay : { 40ms, 120ms, 300ms } )
        retransmissions_.push_back(
            scheduler_.call_after( delay,
                                   [this]
                                   {
                                       send_to_all( state_message() );
                                   } ) );
}

auto peer_group::add_ip( std::string const& ip ) -> void
{
    if ( ip == self_.ip || ip.empty() )
        return;
    remember_address( ip );
    add_seed_ip( ip );
}

auto peer_group::add_seed_ip( std::string const& ip ) -> void
{
    if ( ip == self_.ip || ip.empty() || table_.has_ip( ip ) )
        return;
    if ( unconfirmed_ips_.size() >= max_peers &&
         !unconfirmed_ips_.contains( ip ) )
        return;
    auto const is_new =
        unconfirmed_ips_.insert_or_assign( ip, scheduler_.now() ).second;
    // Until others hear of the start, they keep this instance at the position
    // in the order that its previous process had.
    if ( is_new && greets_new_ips_ )
        send( ip, encode( complete_message() ) );
}

auto peer_group::size() const -> std::size_t
{
    return known_addresses_.size() + 1;
}

auto peer_group::remember_address( std::string const& ip ) -> void
{
    if ( known_addresses_.note( ip, scheduler_.now() ) && on_size_changed )
        on_size_changed();
}

auto peer_group::base_message() const -> peer_message
{
    auto message = peer_message{};
    message.sender = self_.id;
    message.incarnation = self_.incarnation;
    message.ip = self_.ip;
    message.data_centre = self_.data_centre;
    message.callers = self_.callers;
    message.known_until = known_until_;
    message.ready = ready_;
    message.leaving = leaving_;
    message.cut_from_targets = cut_from_targets_;
    message.answered_age_ms =
        core::milliseconds_of( scheduler_.now() - fleet_answered_at() );
    message.store_age_ms = core::milliseconds_of( store_age_ );
    message.store_served_ms = core::milliseconds_of( store_served_for_ );
    message.capacity = self_.capacity;
    message.uptime_ms = core::milliseconds_of( scheduler_.now() - started_ );
    return message;
}

/// The base message with what the receivers keep for long.
auto peer_group::state_message() const -> peer_message
{
    auto message = base_message();
    message.handover_key = self_.handover_key;
    return message;
}

/// The last known state of another instance, as a message from it.
auto peer_group::relayed_message( peer const& p ) const -> peer_message
{
    auto const now = scheduler_.now();
    auto message = peer_message{};
    message.sender = p.id;
    message.incarnation = p.incarnation;
    message.ip = p.ip;
    message.data_centre = p.data_centre;
    message.callers = p.callers;
    message.handover_key = p.handover_key;
    message.known_until = p.known_until;
    message.capacity = p.capacity;
    message.uptime_ms = core::milliseconds_of( now - p.started );
    message.ready = p.ready;
    message.leaving = p.leaving;
    message.cut_from_targets = p.cut_from_targets;
    message.answered_age_ms =
        core::milliseconds_of( now - p.target_answered_at );
    message.store_age_ms = core::milliseconds_of( now - p.store_answered_at );
    return message;
}

auto peer_group::addresses() const -> std::vector<std::string>
{
    auto all = std::set<std::string>{};
    for ( auto const& [id, p] : table_.all() )
        all.insert( p.ip );
    for ( auto const& [ip, since] : unconfirmed_ips_ )
        all.insert( ip );
    return { all.begin(), all.end() };
}

auto peer_group::send( std::string const& ip, std::string const& bytes ) -> void
{
    sent_.datagrams.add();
    sent_.bytes.add( bytes.size() );
    sender_.send( ip, bytes );
}

auto peer_group::send_to_peer( core::instance_id const& to,
                               peer_message const& message ) -> void
{
    if ( auto const* const p = table_.find( to ) )
        send( p->ip, encode( message ) );
}

auto peer_group::send_to_all( peer_message const& message ) -> void
{
    auto const bytes = encode( message );
    for ( auto const& ip : addresses() )
        send( ip, bytes );
}

auto peer_group::send_to_coordinators( peer_message const& message ) -> void
{
    auto const bytes = encode( message );
    for ( auto const& id : coordinators() )
        if ( auto const* const p = table_.find( id ) )
            send( p->ip, bytes );
}

auto peer_group::coordinators() const -> std::vector<core::instance_id>
{
    return table_.coordinators( scheduler_.now() );
}

auto peer_group::coordinator_position() const -> std::optional<int>
{
    auto const now = scheduler_.now();
    if ( !table_.is_coordinator( now ) )
        return std::nullopt;
    return table_.own_position( now );
}

auto peer_group::is_warm_coordinator() const -> bool
{
    auto const now = scheduler_.now();
    return table_.has_warmed_up( now ) && table_.is_coordinator( now );
}

/// The coordinator has to know of crashes with the same content before it
/// chooses the next target.
auto peer_group::send_request( core::instance_id const& to,
                               exchange::placement_request const& request )
    -> void
{
    auto message = base_message();
    auto const suspects =
        exchange::suspects_of( request.content, request.shared_parts );
    for ( auto const& run : crashes_.runs_of( request.content, suspects ) )
        message.crashes.push_back( crash_to_send( run ) );
    message.placement_requests.push_back( request );
    send_to_peer( to, message );
}

auto peer_group::send_answer( core::instance_id const& to,
                              placement_answer const& answer ) -> void
{
    auto message = base_message();
    message.answers.push_back( answer );
    send_to_peer( to, message );
}

auto peer_group::send_release( core::instance_id const& to,
                               std::uint64_t serial ) -> void
{
    auto message = base_message();
    message.ended.push_back( serial );
    send_to_peer( to, message );
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
    if ( std::exchange( broadcast_pending_, false ) )
    {
        auto broadcast = base_message();
        broadcast.ejected = std::exchange( pending_.ejected, {} );
        broadcast.leaving_targets =
            std::exchange( pending_.leaving_targets, {} );
        broadcast.limits = std::exchange( pending_.limits, {} );
        send_to_all( broadcast );
    }
    auto message = base_message();
    message.work = std::exchange( pending_.work, {} );
    message.prefill_ended = std::exchange( pending_.prefill_ended, {} );
    message.ended = std::exchange( pending_.ended, {} );
    message.served = std::exchange( pending_.served, {} );
    message.failed = std::exchange( pending_.failed, {} );
    message.crashes = std::exchange( pending_.crashes, {} );
    message.cleared = std::exchange( pending_.cleared, {} );
    std::sort( message.cleared.begin(), message.cleared.end() );
    auto const is_empty = message.work.empty() &&
                          message.prefill_ended.empty() &&
                          message.ended.empty() && message.served.empty() &&
                          message.failed.empty() && message.crashes.empty() &&
                          message.cleared.empty();
    if ( is_empty )
        return;
    inform_new_coordinators();
    send_to_coordinators( message );
}

auto peer_group::on_datagram( std::string_view bytes,
                              std::string const& from_ip ) -> void
{
    auto decoded = decode( bytes );
    if ( decoded.has_error() || decoded.value().sender == self_.id )
        return;
    auto& message = decoded.value();
    if ( !apply_sender_state( message, from_ip ) )
        return;
    apply_silent_reports( message );
    apply_crashes( message );
    apply_leaving_targets( message );
    apply_limits( message );
    apply_work( message );
    dispatch_placement_requests( message );
    if ( !message.update.empty() && on_update )
        on_update( message.sender.str(), message.update );
}

auto peer_group::dispatch_placement_requests( peer_message& message ) -> void
{
    if ( handler_ == nullptr )
        return;
    for ( auto& request : message.placement_requests )
    {
        request.requester = message.sender;
        request.memory = reports_.take( message.sender, bytes_of( request ) );
        // Else it is lost; its instance sends it again, or to another one.
        if ( request.memory )
            handler_->on_request( std::move( request ) );
    }
    for ( auto const& answer : message.answers )
        handler_->on_answer( message.sender, answer );
}

}
