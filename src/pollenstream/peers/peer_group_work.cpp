#include <pollenstream/peers/peer_group.hpp>

#include <set>
#include <utility>

// The parts of `peer_group` that concern the open work of instances at targets.

namespace pollenstream::peers
{

auto peer_group::work_began( exchange::open_work const& work ) -> void
{
    pending_.work.push_back( work );
    arm_flush();
}

auto peer_group::prefill_ended( std::uint64_t serial ) -> void
{
    pending_.prefill_ended.push_back( serial );
    arm_flush();
}

auto peer_group::work_ended( std::uint64_t serial,
                             exchange::work_outcome outcome ) -> void
{
    auto const served = outcome == exchange::work_outcome::served;
    ( served ? pending_.served : pending_.ended ).push_back( serial );
    arm_flush();
}

/// Ends the known work of the sender that its complete message does not list.
/// Returns true if there was any.
auto peer_group::reconcile_open_work( peer_message const& message ) -> bool
{
    auto open = std::set<std::uint64_t>( message.undecided.begin(),
                                         message.undecided.end() );
    for ( auto const& work : message.work )
        open.insert( work.serial );
    if ( handler_ != nullptr )
        handler_->on_open_serials( message.sender, open );
    auto load_decreased = false;
    for ( auto const& work :
          load_table_.works_of( message.sender, scheduler_.now() ) )
    {
        if ( open.contains( work.serial ) )
            continue;
        load_table_.end_work( message.sender, work.serial, scheduler_.now() );
        load_decreased = true;
    }
    return load_decreased;
}

auto peer_group::release( core::instance_id const& owner, std::uint64_t serial )
    -> void
{
    load_table_.end_work( owner, serial, scheduler_.now() );
    if ( handler_ != nullptr )
        handler_->on_released( owner, serial );
}

/// Work for which there is no memory is left out, as if its report were lost.
auto peer_group::add_work( core::instance_id const& owner,
                           exchange::open_work const& work ) -> void
{
    auto const now = scheduler_.now();
    if ( load_table_.knows_work( owner, work.serial ) )
        return load_table_.add_work( owner, work, now );
    auto memory = reports_.take( owner, bytes_of( work ) );
    if ( memory )
        load_table_.add_work( owner, work, now, std::move( memory ) );
}

auto peer_group::apply_work( peer_message const& message ) -> void
{
    auto const now = scheduler_.now();
    auto load_decreased = !message.ended.empty() || !message.served.empty() ||
                          !message.prefill_ended.empty();
    for ( auto const& work : message.work )
        add_work( message.sender, work );
    for ( auto const serial : message.prefill_ended )
        load_table_.end_prefill( message.sender, serial, now );
    for ( auto const serial : message.served )
    {
        load_table_.end_served_work( message.sender, serial, now );
        release( message.sender, serial );
    }
    for ( auto const serial : message.ended )
        release( message.sender, serial );
    if ( message.complete )
        load_decreased = reconcile_open_work( message ) || load_decreased;
    apply_failures( message );
    if ( load_decreased && on_load_changed )
        on_load_changed();
}

}
