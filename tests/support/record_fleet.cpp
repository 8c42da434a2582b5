#include "support/record_fleet.hpp"

#include <pollenstream/peers/state_transfer.hpp>

#include <algorithm>
#include <utility>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto datagram_time = core::duration( 1ms );
constexpr auto fetch_time = core::duration( 4ms );
constexpr auto fetch_timeout = core::duration( 2500ms );
constexpr auto tick_period = core::duration( 100ms );
/// How often a watch looks for changes.
constexpr auto watch_step = core::duration( 5ms );

auto refused() -> core::error
{
    return { core::error_code::refused, "turned away" };
}

}

auto store_link::list( std::string const&,
                       ports::read_age,
                       batch_done callback ) -> void
{
    fleet_.after( answer_time,
                  [this, callback = std::move( callback )]
                  {
                      if ( turns_away )
                          return callback( refused() );
                      callback( fleet_.changes_after( {} ) );
                  } );
}

auto store_link::watch( std::string const& prefix,
                        ports::store_revision known,
                        core::duration limit,
                        batch_done callback ) -> void
{
    fleet_.after( watch_step,
                  [this, prefix, known, limit, callback]
                  {
                      if ( turns_away )
                          return callback( refused() );
                      if ( fleet_.revision > known || limit <= watch_step )
                          return callback( fleet_.changes_after( known ) );
                      watch( prefix, known, limit - watch_step, callback );
                  } );
}

auto store_link::write( ports::record_changes const&,
                        ports::lease_id,
                        done callback ) -> void
{
    callback( core::success() );
}

auto store_link::grant_lease( core::duration, lease_done callback ) -> void
{
    callback( ports::lease_id( 1 ) );
}

auto store_link::renew_lease( ports::lease_id, done callback ) -> void
{
    callback( core::success() );
}

auto store_link::end_lease( ports::lease_id, done callback ) -> void
{
    callback( core::success() );
}

record_instance::record_instance( record_fleet& fleet, int number )
    : ip( "10.0." + std::to_string( number / 100 ) + "." +
          std::to_string( number % 100 ) ),
      store( fleet ),
      group( { core::instance_id( "n" + std::to_string( number ) ),
               core::incarnation( 1 ), ip, core::data_centre_id( "a" ),
               ip + ":80", 250 },
             { "10.0.0.1", "10.0.0.2" },
             fleet.scheduler,
             *this,
             loads,
             crashes,
             log ),
      watch( store, fleet.scheduler, fleet.codec, loads, log, events() ),
      fleet_( fleet ), fetch_(
                           fleet.scheduler,
                           [this]( auto const& except )
                           {
                               return choose_source( except );
                           },
                           [this]( auto const& from, auto ended )
                           {
                               fetch_from( from, std::move( ended ) );
                           } )
{
    group.on_update = [this]( auto const& from, auto const& bytes )
    {
        auto const update = peers::decode_datagram_update( bytes );
        if ( update.has_value() )
            watch.apply_update( update.value(), from );
    };
    auto properties = make_target( "a1", "model" );
    loads.put( properties );
}

auto record_instance::events() -> pollenstream::registry::registry_events
{
    auto events = pollenstream::registry::registry_events{};
    events.on_targets_changed = [] {};
    events.others_served_for = [this]
    {
        return group.others_served_for();
    };
    events.on_update = [this]( auto const& update )
    {
        if ( group.should_read_store() )
        {
            set_store_state();
            group.share_update( peers::encode_update( update ) );
        }
    };
    return events;
}

auto record_instance::send( std::string const& to, std::string const& bytes )
    -> void
{
    if ( !is_frozen )
        fleet_.deliver( ip, to, bytes );
}

auto record_instance::is_drained( std::string const& data_centre ) const -> bool
{
    return loads.drained_data_centres().contains(
        core::data_centre_id( data_centre ) );
}

/// Decides whether to read the store, and fetches from a peer that knows more.
auto record_instance::tick() -> void
{
    set_store_state();
    watch.set_reader( group.should_read_store() );
    fetch_.update( false );
    tick_call_ = fleet_.scheduler.call_after( tick_period,
                                              [this]
                                              {
                                                  auto const done =
                                                      std::move( tick_call_ );
                                                  tick();
                                              } );
}

auto record_instance::set_store_state() -> void
{
    group.set_store_state( watch.known_until(), watch.store_age(),
                           watch.served_for() );
}

auto record_instance::choose_source( std::set<core::instance_id> const& except )
    const -> std::optional<core::instance_id>
{
    auto const* const p =
        group.better_informed_peer( watch.known_until(), except );
    return p ? std::optional( p->id ) : std::nullopt;
}

/// A frozen instance accepts the connection and does not answer.
auto record_instance::fetch_from( core::instance_id const& id,
                                  std::function<void()> ended ) -> void
{
    auto* const from = fleet_.find( group.peers().at( id ).ip );
    fleet_.after(
        from->is_frozen ? fetch_timeout : fetch_time,
        [this, from, hangs = from->is_frozen, ended = std::move( ended )]
        {
            ended();
            if ( !hangs )
                watch.apply_update(
                    from->watch.changes_after( watch.known_until() ),
                    from->ip );
        } );
}

auto record_instance::start() -> void
{
    group.start();
    watch.start_following();
    tick();
}

record_fleet::record_fleet( int instances )
{
    for ( auto i = 1; i <= instances; ++i )
    {
        all.push_back( std::make_unique<record_instance>( *this, i ) );
        by_ip_[all.back()->ip] = all.back().get();
    }
    for ( auto const& one : all )
        one->start();
    scheduler.run( 3s );
}

auto record_fleet::after( core::duration delay, std::function<void()> what )
    -> void
{
    auto const number = ++last_call_;
    calls_[number] =
        scheduler.call_after( delay,
                              [this, number, what = std::move( what )]
                              {
                                  auto const done = calls_.extract( number );
                                  what();
                              } );
}

auto record_fleet::change( std::string const& key,
                           std::optional<std::string> value ) -> void
{
    revision = ports::store_revision( revision.count() + 1 );
    std::erase_if( history_,
                   [&key]( auto const& r )
                   {
                       return r.key == key;
                   } );
    history_.push_back( { key, std::move( value ), revision } );
}

auto record_fleet::changes_after( ports::store_revision after ) const
    -> ports::record_batch
{
    auto batch = ports::record_batch{ {}, revision };
    for ( auto const& r : history_ )
        if ( r.revision > after )
            batch.records.push_back( r );
    return batch;
}

auto record_fleet::deliver( std::string const& from,
                            std::string const& to,
                            std::string bytes ) -> void
{
    auto* const receiver = find( to );
    auto const is_lost = std::uniform_real_distribution<double>( 0, 1 )(
                             random_ ) < datagram_loss;
    if ( receiver == nullptr || is_lost )
        return;
    after( datagram_time,
           [receiver, from, bytes = std::move( bytes )]
           {
               if ( !receiver->is_frozen )
                   receiver->group.on_datagram( bytes, from );
           } );
}

auto record_fleet::find( std::string const& ip ) -> record_instance*
{
    auto const found = by_ip_.find( ip );
    return found == by_ip_.end() ? nullptr : found->second;
}

auto record_fleet::time_until(
    std::function<bool( record_instance const& )> const& holds,
    core::duration limit ) -> core::duration
{
    constexpr auto step = core::duration( 1ms );
    auto const began = scheduler.now();
    while ( scheduler.now() - began < limit )
    {
        if ( std::all_of( all.begin(), all.end(),
                          [&holds]( auto const& one )
                          {
                              return holds( *one );
                          } ) )
            break;
        scheduler.run( step );
    }
    return scheduler.now() - began;
}

auto record_fleet::readers() -> std::vector<record_instance*>
{
    auto found = std::vector<record_instance*>{};
    for ( auto const& one : all )
        if ( one->group.should_read_store() )
            found.push_back( one.get() );
    return found;
}

}
