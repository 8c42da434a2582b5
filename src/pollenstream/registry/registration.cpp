#include <pollenstream/registry/registration.hpp>

#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// A long lease needs few renewals. A record that outlives its process is
/// harmless: other instances only send it datagrams that nobody receives.
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

auto registration::log_state( bool held, std::string const& reason ) -> void
{
    auto const has_changed = held ? !held_ : !failure_logged_;
    held_ = held;
    failure_logged_ = !held;
    if ( has_changed )
        log_.record( exchange::state_change{
            "registration", key_, held ? "held" : "not_held", reason, {} } );
}

auto registration::start() -> void
{
    grant();
}

auto registration::schedule( core::duration delay,
                             void ( registration::*step )() ) -> void
{
    next_step_ = scheduler_.call_after( delay,
                                        [this, step]
                                        {
                                            auto const finished_call =
                                                std::move( next_step_ );
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
                                log_state( false, lease.error().detail );
                                return schedule( retry_pause,
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
                        log_state( true, "written" );
                        return schedule( renewal_period, &registration::renew );
                    }
                    log_state( false, status.error().detail );
                    // The store may have made the write despite the error;
                    // writing the same value again is harmless.
                    auto const lease_ended =
                        status.error().code == core::error_code::expired;
                    schedule( retry_pause, lease_ended ? &registration::grant
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
                log_state( false, status.error().detail );
            else
                log_state( true, "renewed" );
            if ( lease_ended )
                return grant();
            schedule( status.has_error() ? retry_pause : renewal_period,
                      &registration::renew );
        } );
}

auto registration::stop() -> void
{
    stopped_ = true;
    next_step_.reset();
    if ( lease_ != ports::lease_id{} )
        store_.end_lease( lease_, []( auto ) {} );
}

}
