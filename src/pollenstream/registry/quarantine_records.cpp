#include <pollenstream/registry/quarantine_records.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// Equal to the time for which crashes count; also the longest lease that the
/// store grants.
constexpr auto lease_time = core::duration( 10min );
/// Delay of a coordinator's write, multiplied by its rank. Not a divisor of the
/// retry pause, so that a write does not coincide with the retry of another
/// coordinator.
constexpr auto delay_per_rank = core::duration( 300ms );
constexpr auto retry_pause = core::duration( 1s );

}

quarantine_records::quarantine_records( ports::record_store& store,
                                        ports::scheduler& scheduler,
                                        exchange::crash_history& crashes,
                                        registry_codec const& codec,
                                        rank_source own_rank )
    : store_( store ), scheduler_( scheduler ), crashes_( crashes ),
      codec_( codec ), own_rank_( std::move( own_rank ) )
{
}

auto quarantine_records::is_recorded(
    exchange::suspect_list const& suspects ) const -> bool
{
    auto const group = find_group( suspects );
    auto const recorded = recorded_.find( suspects );
    if ( !group || recorded == recorded_.end() )
        return !group && recorded == recorded_.end();
    return recorded->second >= group->trials.step();
}

auto quarantine_records::find_group( exchange::suspect_list const& suspects )
    const -> std::optional<exchange::quarantined_group>
{
    for ( auto& current : crashes_.quarantined() )
        if ( current.suspects == suspects )
            return current;
    return std::nullopt;
}

auto quarantine_records::on_changed( exchange::suspect_list const& suspects )
    -> void
{
    auto const rank = own_rank_();
    if ( rank && !is_recorded( suspects ) )
        schedule_write( suspects, delay_per_rank * *rank );
}

auto quarantine_records::schedule_write( exchange::suspect_list const& suspects,
                                         core::duration delay ) -> void
{
    pending_writes_[suspects] = scheduler_.call_after( delay,
                                                       [this, suspects]
                                                       {
                                                           write( suspects );
                                                       } );
}

/// Writes the record and retries until it matches the quarantine, or until this
/// instance is no longer a coordinator.
auto quarantine_records::write( exchange::suspect_list const& suspects ) -> void
{
    auto const finished_call = pending_writes_.extract( suspects );
    if ( is_recorded( suspects ) || !own_rank_() )
        return;
    store_.grant_lease( lease_time,
                        [this, suspects]( auto lease )
                        {
                            if ( lease.has_error() )
                                return schedule_write( suspects, retry_pause );
                            put( suspects, lease.value() );
                        } );
}

auto quarantine_records::put( exchange::suspect_list const& suspects,
                              ports::lease_id lease ) -> void
{
    auto const group =
        find_group( suspects )
            .value_or( exchange::quarantined_group{ suspects, {}, {} } );
    auto changes = ports::record_changes{};
    changes.puts.push_back( { codec_.quarantine_key( suspects ),
                              codec_.write_quarantine( group ) } );
    store_.write( changes, lease,
                  [this, suspects, is_quarantined = !group.crashes.empty(),
                   step = group.trials.step()]( auto status )
                  {
                      if ( status.has_error() )
                          return schedule_write( suspects, retry_pause );
                      if ( is_quarantined )
                          recorded_[suspects] = step;
                      else
                          recorded_.erase( suspects );
                  } );
}

auto quarantine_records::apply_record( std::string const& value ) -> void
{
    // A record has no timestamp that is valid on all instances. Its crashes are
    // treated as new, so the quarantine is kept at least until the entries of
    // ended targets have lapsed (see `crash_history::prune`).
    auto const now = scheduler_.now();
    auto const group = codec_.read_quarantine( value, now );
    if ( group.has_error() )
        return;
    auto const& suspects = group.value().suspects;
    if ( group.value().crashes.empty() )
    {
        recorded_.erase( suspects );
        return crashes_.lift( suspects );
    }
    recorded_[suspects] = group.value().trials.step();
    crashes_.adopt( group.value(), now );
}

}
