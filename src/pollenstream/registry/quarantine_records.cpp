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

auto quarantine_records::is_recorded( exchange::content_id content ) const
    -> bool
{
    return recorded_.contains( content ) == crashes_.is_quarantined( content );
}

auto quarantine_records::on_changed( exchange::content_id content ) -> void
{
    auto const rank = own_rank_();
    if ( rank && !is_recorded( content ) )
        schedule_write( content, delay_per_rank * *rank );
}

auto quarantine_records::schedule_write( exchange::content_id content,
                                         core::duration delay ) -> void
{
    pending_writes_[content] = scheduler_.call_after( delay,
                                                      [this, content]
                                                      {
                                                          write( content );
                                                      } );
}

/// Writes the record and retries until it matches the quarantine, or until this
/// instance is no longer a coordinator.
auto quarantine_records::write( exchange::content_id content ) -> void
{
    auto const finished_call = pending_writes_.extract( content );
    if ( is_recorded( content ) || !own_rank_() )
        return;
    store_.grant_lease( lease_time,
                        [this, content]( auto lease )
                        {
                            if ( lease.has_error() )
                                return schedule_write( content, retry_pause );
                            put( content, lease.value() );
                        } );
}

auto quarantine_records::put( exchange::content_id content,
                              ports::lease_id lease ) -> void
{
    auto const runs = crashes_.is_quarantined( content )
                          ? crashes_.crashes_of( content )
                          : std::vector<exchange::crashed_run>{};
    auto changes = ports::record_changes{};
    changes.puts.push_back(
        { codec_.quarantine_key( content ), codec_.write_quarantine( runs ) } );
    store_.write( changes, lease,
                  [this, content, is_quarantined = !runs.empty()]( auto status )
                  {
                      if ( status.has_error() )
                          return schedule_write( content, retry_pause );
                      if ( is_quarantined )
                          recorded_.insert( content );
                      else
                          recorded_.erase( content );
                  } );
}

auto quarantine_records::apply_record( std::string const& key,
                                       std::string const& value ) -> void
{
    // A record has no timestamp that is valid on all instances. Its crashes are
    // treated as new, so the quarantine is kept at least until the entries of
    // ended targets have lapsed (see `crash_history::review`).
    auto const runs = codec_.read_quarantine( key, value, scheduler_.now() );
    if ( runs.has_error() )
        return;
    auto const content = codec_.content_of( key );
    if ( runs.value().empty() )
    {
        recorded_.erase( content );
        crashes_.note_served( content, scheduler_.now() );
        return;
    }
    recorded_.insert( content );
    for ( auto const& run : runs.value() )
        crashes_.note_crash( run );
    crashes_.confirm( content );
}

}
