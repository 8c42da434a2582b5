#include <pollenstream/registry/registration.hpp>

#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// A record that outlives its process only costs datagrams to nobody; a lease
/// that is renewed rarely costs fewer calls.
constexpr auto lease_time = core::duration( 60s );
constexpr auto renewal_period = core::duration( 20s );
constexpr auto retry_pause = core::duration( 1s );

}

registration::registration( ports::record_store& store,
                            ports::scheduler& scheduler,
                            std::string key,
                            std::string value,
                            exchange::event_log& log )
    : store_( store ), scheduler_( scheduler ), key_( std::move( key ) ),
      value_( std::move( value ) ), log_( log )
{
}

auto registration::note( bool held, std::string const& because ) -> void
{
    auto const is_news = held ? !held_ : !trouble_told_;
    held_ = held;
    trouble_told_ = !held;
    if ( is_news )
        log_.record( exchange::state_change{
            "registration", key_, held ? "held" : "not_held", because, {} } );
}

auto registration::start() -> void
{
    grant();
}

auto registration::later( core::duration delay, void ( registration::*step )() )
    -> void
{
    next_ = scheduler_.call_after( delay,
                                   [this, step]
                                   {
                                       auto const done = std::move( next_ );
                                       if ( !stopped_ )
                                           ( this->*step )();
                                   } );
}

auto registration::grant() -> void
{
    store_.grant_lease( lease_time,
                        [this]( auto lease )
                        {
                            if ( lease.has_error() )
                            {
                                note( false, lease.error().detail );
                                return later( retry_pause,
                                              &registration::grant );
                            }
                            lease_ = lease.value();
                            put();
                        } );
}

auto registration::put() -> void
{
    store_.put( key_, value_, lease_,
                [this]( auto status )
                {
                    if ( !status.has_error() )
                    {
                        note( true, "written" );
                        return later( renewal_period, &registration::renew );
                    }
                    note( false, status.error().detail );
                    // The write may have been made all the same; writing the
                    // same value again does no harm.
                    auto const lease_ended =
                        status.error().code == core::error_code::expired;
                    later( retry_pause, lease_ended ? &registration::grant
                                                    : &registration::put );
                } );
}

auto registration::renew() -> void
{
    store_.renew_lease(
        lease_,
        [this]( auto status )
        {
            auto const lease_ended =
                status.has_error() &&
                status.error().code == core::error_code::expired;
            if ( status.has_error() )
                note( false, status.error().detail );
            else
                note( true, "renewed" );
            if ( lease_ended )
                return grant();
            later( status.has_error() ? retry_pause : renewal_period,
                   &registration::renew );
        } );
}

auto registration::stop() -> void
{
    stopped_ = true;
    next_.reset();
    if ( lease_ != ports::lease_id{} )
        store_.end_lease( lease_, []( auto ) {} );
}

}
