#include <pollenstream/registry/quarantine_records.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// As long as crashes count; the store's leases last no longer.
constexpr auto record_time = core::duration( 10min );
/// A coordinator waits this long for each one before it; no multiple of it
/// meets another one's next try.
constexpr auto turn_time = core::duration( 300ms );
constexpr auto retry_pause = core::duration( 1s );

}

quarantine_records::quarantine_records( ports::record_store& store,
                                        ports::scheduler& scheduler,
                                        exchange::crash_history& crashes,
                                        registry_codec const& codec,
                                        duty own_duty )
    : store_( store ), scheduler_( scheduler ), crashes_( crashes ),
      codec_( codec ), own_duty_( std::move( own_duty ) )
{
}

auto quarantine_records::is_recorded( exchange::content_id content ) const
    -> bool
{
    return recorded_.contains( content ) == crashes_.is_quarantined( content );
}

auto quarantine_records::on_changed( exchange::content_id content ) -> void
{
    auto const turn = own_duty_();
    if ( turn && !is_recorded( content ) )
        arm( content, turn_time * *turn );
}

auto quarantine_records::arm( exchange::content_id content,
                              core::duration delay ) -> void
{
    calls_[content] = scheduler_.call_after( delay,
                                             [this, content]
                                             {
                                                 write( content );
                                             } );
}

/// Again and again until the record says what is so, or another instance has
/// the duty.
auto quarantine_records::write( exchange::content_id content ) -> void
{
    auto const done = calls_.extract( content );
    if ( is_recorded( content ) || !own_duty_() )
        return;
    store_.grant_lease( record_time,
                        [this, content]( auto lease )
                        {
                            if ( lease.has_error() )
                                return arm( content, retry_pause );
                            put( content, lease.value() );
                        } );
}

auto quarantine_records::put( exchange::content_id content,
                              ports::lease_id lease ) -> void
{
    auto const runs = crashes_.is_quarantined( content )
                          ? crashes_.crashes_of( content )
                          : std::vector<exchange::crashed_run>{};
    store_.put( codec_.quarantine_key( content ),
                codec_.write_quarantine( runs ), lease,
                [this, content, held = !runs.empty()]( auto status )
                {
                    if ( status.has_error() )
                        return arm( content, retry_pause );
                    if ( held )
                        recorded_.insert( content );
                    else
                        recorded_.erase( content );
                } );
}

auto quarantine_records::take( std::string const& key,
                               std::string const& value ) -> void
{
    // A record tells no time that all clocks agree on. Taken for new, it holds
    // until the entries of its targets would have lapsed.
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
