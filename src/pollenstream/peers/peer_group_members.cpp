#include <pollenstream/peers/peer_group.hpp>

#include <algorithm>
#include <utility>

// The parts of `peer_group` that concern which instances there are: those that
// are heard, fall silent, or are forgotten.

namespace pollenstream::peers
{

auto peer_group::handle_lost_peer( core::instance_id const& id,
                                   std::string reason ) -> void
{
    if ( auto const* const p = table_.find( id ) )
        log_peer_state( *p, "silent", std::move( reason ) );
    forget_reports( id );
}

auto peer_group::log_peer_state( peer const& which,
                                 std::string state,
                                 std::string reason ) -> void
{
    log_.record( exchange::state_change{
        "peer", which.id.str(), std::move( state ), std::move( reason ),
        scheduler_.now() - which.last_heard } );
}

/// Logs the first; the counter has all.
auto peer_group::note_refused_peer( peer_message const& message ) -> void
{
    refused_peers_.add();
    if ( refused_peers_.value() > 1 )
        return;
    log_.record(
        exchange::state_change{ "peer",
                                message.sender.str(),
                                "refused",
                                "as many instances as can be are known",
                                {} } );
}

auto peer_group::note_replaced_peer( core::instance_id const& id ) -> void
{
    replaced_peers_.add();
    forget_reports( id );
}

/// Logs the first; the counter has all.
auto peer_group::note_reports_give_way( core::instance_id const& id ) -> void
{
    if ( reports_.gave_way() == 1 )
        log_.record( exchange::state_change{
            "peer",
            id.str(),
            "reports_forgotten",
            "reports of instances have used up their memory, it had the most",
            {} } );
    forget_reports( id );
}

/// Removes the open work and the placement requests of the instance.
auto peer_group::forget_reports( core::instance_id const& id ) -> void
{
    load_table_.end_all_work( id, scheduler_.now() );
    if ( handler_ != nullptr )
        handler_->on_lost( id );
}

/// Returns false, and applies nothing, if the message is from an earlier
/// process of the sender, or from one instance too many.
auto peer_group::apply_sender_state( peer_message const& message,
                                     std::string const& from_ip ) -> bool
{
    auto const now = scheduler_.now();
    auto const path =
        message.ip == from_ip ? message_path::direct : message_path::relayed;
    auto const change = table_.apply_message( message, path, now );
    if ( change.replaced )
        note_replaced_peer( *change.replaced );
    if ( change.is_refused )
        note_refused_peer( message );
    if ( change.is_stale || change.is_refused )
        return false;
    auto const& p = *table_.find( message.sender );
    latest_heard_ = std::max( latest_heard_, message.known_until );
    if ( message.known_until > known_until_ && !behind_since_ )
        behind_since_ = now;
    if ( change.is_restarted )
    {
        load_table_.end_all_work( message.sender, now );
        if ( handler_ != nullptr )
            handler_->on_lost( message.sender );
    }
    unconfirmed_ips_.erase( p.ip );
    remember_address( p.ip );
    if ( change.is_new || change.has_recovered )
        log_peer_state( p, "alive", "heard" );
    if ( change.starts_leaving )
    {
        log_peer_state( p, "leaving", "announced by the instance" );
        if ( handler_ != nullptr )
            handler_->on_lost( message.sender );
    }
    if ( change.is_cut_now && on_peer_cut )
        on_peer_cut();
    for ( auto const& ip : message.known_ips )
        add_ip( ip );
    if ( change.is_new || change.has_recovered || change.starts_leaving )
        update_limit_shares();
    // The sender needs the state of this instance and, if it is a coordinator,
    // the open work.
    if ( change.is_new || change.is_restarted )
        send( p.ip, encode( complete_message() ) );
    if ( change.has_recovered && table_.is_coordinator( now ) )
        send_to_all( relayed_message( p ) );
    return true;
}

auto peer_group::apply_silent_reports( peer_message const& message ) -> void
{
    for ( auto const& which : message.silent )
    {
        if ( which.id == self_.id )
            send_to_peer( message.sender, complete_message() );
        else if ( table_.apply_silent_report( which, scheduler_.now() ) )
            handle_lost_peer( which.id,
                              "reported silent by " + message.sender.str() );
    }
}

}
