#include <pollenstream/registry/instance_records.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// A long lease needs few renewals and leaves the next keeper time to write the
/// records anew. A record that outlives its process is harmless: other
/// instances only send it datagrams that nobody receives.
constexpr auto lease_time = core::duration( 60s );
constexpr auto renewal_period = core::duration( 20s );
/// Between two looks at which instances need records.
constexpr auto check_period = core::duration( 1s );
constexpr auto retry_pause = core::duration( 1s );
/// Between two calls that write many records. Each of them is sent on to all
/// instances, which at once would fill the links of those that read the store.
constexpr auto write_pause = core::duration( 50ms );

}

instance_records::instance_records( ports::record_store& store,
                                    ports::scheduler& scheduler,
                                    registry_codec const& codec,
                                    address_source addresses,
                                    exchange::event_log& log )
    : store_( store ), scheduler_( scheduler ), codec_( codec ),
      addresses_( std::move( addresses ) ), log_( log )
{
}

auto instance_records::start() -> void
{
    schedule( check_period );
}

auto instance_records::note_removed( std::string const& key ) -> void
{
    written_.erase( key );
}

auto instance_records::schedule( core::duration delay ) -> void
{
    next_step_ = scheduler_.call_after( delay,
                                        [this]
                                        {
                                            auto const finished_call =
                                                std::move( next_step_ );
                                            step();
                                        } );
}

/// Makes one call to the store, whose answer schedules the next step, or waits
/// until there is something to do.
auto instance_records::step() -> void
{
    auto const wanted = addresses_();
    if ( !wanted )
    {
        end_keeping();
        return schedule( check_period );
    }
    begin_keeping();
    if ( !lease_ )
        return grant();
    if ( scheduler_.now() >= renew_at_ )
        return renew();
    write_changes( *wanted );
}

/// A keeper writes all records under its own lease, since that of the keeper
/// before is not renewed any more.
auto instance_records::begin_keeping() -> void
{
    if ( std::exchange( is_keeper_, true ) )
        return;
    lease_.reset();
    written_.clear();
}

/// Leaves the records to their lease: by its end the next keeper has written
/// them anew.
auto instance_records::end_keeping() -> void
{
    is_keeper_ = false;
    logged_held_.reset();
}

auto instance_records::grant() -> void
{
    store_.grant_lease( lease_time,
                        [this]( auto lease )
                        {
                            if ( lease.has_error() )
                                return on_failure( lease.error() );
                            lease_ = lease.value();
                            renew_at_ = scheduler_.now() + renewal_period;
                            written_.clear();
                            step();
                        } );
}

auto instance_records::renew() -> void
{
    store_.renew_lease( *lease_,
                        [this]( auto status )
                        {
                            if ( status.has_error() )
                                return on_failure( status.error() );
                            renew_at_ = scheduler_.now() + renewal_period;
                            log_state( true, "renewed" );
                            step();
                        } );
}

auto instance_records::changes_to( address_map const& wanted ) const
    -> ports::record_changes
{
    auto changes = ports::record_changes{};
    auto wanted_keys = std::map<std::string, std::string>{};
    for ( auto const& [id, ip] : wanted )
        wanted_keys.emplace( codec_.instance_key( id ), ip );
    for ( auto const& [key, ip] : wanted_keys )
    {
        if ( changes.size() >= ports::record_changes::max_size )
            return changes;
        auto const found = written_.find( key );
        if ( found == written_.end() || found->second != ip )
            changes.puts.push_back( { key, ip } );
    }
    for ( auto const& [key, ip] : written_ )
    {
        if ( changes.size() >= ports::record_changes::max_size )
            return changes;
        if ( !wanted_keys.contains( key ) )
            changes.removals.push_back( key );
    }
    return changes;
}

auto instance_records::write_changes( address_map const& wanted ) -> void
{
    auto const changes = changes_to( wanted );
    if ( changes.size() == 0 )
        return schedule( check_period );
    store_.write( changes, *lease_,
                  [this, changes]( auto status )
                  {
                      if ( status.has_error() )
                          return on_failure( status.error() );
                      note_written( changes );
                      log_state( true, "written" );
                      schedule( write_pause );
                  } );
}

auto instance_records::note_written( ports::record_changes const& changes )
    -> void
{
    for ( auto const& put : changes.puts )
        written_[put.key] = put.value;
    for ( auto const& key : changes.removals )
        written_.erase( key );
}

/// The store may have made the write despite the error; writing the same
/// records again is harmless.
auto instance_records::on_failure( core::error const& error ) -> void
{
    log_state( false, error.detail );
    if ( error.code == core::error_code::expired )
        lease_.reset();
    schedule( retry_pause );
}

/// Logs when the records can no longer be kept and when they are kept again,
/// each once, with the reason.
auto instance_records::log_state( bool held, std::string const& reason ) -> void
{
    if ( std::exchange( logged_held_, held ) == held )
        return;
    log_.record( exchange::state_change{
        "registration", "instances", held ? "held" : "not_held", reason, {} } );
}

}
