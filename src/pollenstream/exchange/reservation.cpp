#include <pollenstream/exchange/reservation.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// How long a target holds memory without a renewal. Operators count memory
/// without a request as lost after 4 s, so a reservation has to expire earlier
/// if its instance was killed or the target processed the call late.
constexpr auto hold_time = core::duration( 3500ms );
/// Less than half of the hold time, so that one renewal may be lost.
constexpr auto renewal_period = core::duration( 1500ms );
/// Attempts at one renewal, all within one renewal period.
constexpr auto max_renewal_attempts = 3;
constexpr auto renewal_retry_delay = core::duration( 300ms );
/// Attempts at a release before the reservation is left to expire.
constexpr auto max_release_attempts = 3;
constexpr auto release_retry_delay = core::duration( 300ms );

}

reservation_group::reservation_group( reservation_client& client,
                                      ports::scheduler& scheduler,
                                      core::reservation_id id,
                                      std::vector<target_memory> targets,
                                      core::duration max_hold )
    : client_( client ), scheduler_( scheduler ), id_( std::move( id ) ),
      targets_( std::move( targets ) ), hold_( std::min( hold_time, max_hold ) )
{
}

auto reservation_group::start( ready_callback callback ) -> void
{
    callback_ = std::move( callback );
    pending_ = targets_.size();
    for ( auto const& target : targets_ )
        client_.reserve( target, id_, hold_,
                         [self = shared_from_this()]( auto status )
                         {
                             self->on_reserved( status );
                         } );
}

auto reservation_group::on_reserved( core::result<void> const& status ) -> void
{
    --pending_;
    if ( released_ || !callback_ )
        return;
    if ( status.has_error() )
    {
        auto const callback = std::exchange( callback_, nullptr );
        release();
        callback( status );
        return;
    }
    if ( pending_ > 0 )
        return;
    renewal_ = scheduler_.call_after( renewal_period,
                                      [this]
                                      {
                                          renew();
                                      } );
    auto const callback = std::exchange( callback_, nullptr );
    callback( core::success() );
}

auto reservation_group::renew() -> void
{
    for ( auto i = std::size_t{ 0 }; i < targets_.size(); ++i )
        renew_at( i, max_renewal_attempts );
    renewal_ = scheduler_.call_after( renewal_period,
                                      [this]
                                      {
                                          renew();
                                      } );
}

/// Retries a failed renewal, as the target aborts a request whose reservation
/// expires.
auto reservation_group::renew_at( std::size_t index, int attempts ) -> void
{
    if ( released_ )
        return;
    client_.reserve( targets_[index], id_, hold_,
                     retry( &reservation_group::renew_at, index, attempts,
                            renewal_retry_delay ) );
}

auto reservation_group::retry( void ( reservation_group::*again )( std::size_t,
                                                                   int ),
                               std::size_t index,
                               int attempts,
                               core::duration delay )
    -> reservation_client::done
{
    return [self = shared_from_this(), again, index, attempts,
            delay]( auto const& status )
    {
        if ( !status.has_error() || attempts <= 1 )
            return;
        self->call_later( delay,
                          [self, again, index, attempts]
                          {
                              ( *self.*again )( index, attempts - 1 );
                          } );
    };
}

auto reservation_group::call_later( core::duration delay,
                                    std::function<void()> callback ) -> void
{
    auto holder = std::make_shared<std::unique_ptr<ports::scheduled_call>>();
    *holder = scheduler_.call_after( delay,
                                     [holder, callback = std::move( callback )]
                                     {
                                         auto const call = std::move( *holder );
                                         callback();
                                     } );
}

auto reservation_group::release() -> void
{
    if ( std::exchange( released_, true ) )
        return;
    callback_ = nullptr;
    renewal_.reset();
    for ( auto i = std::size_t{ 0 }; i < targets_.size(); ++i )
        release_at( i, max_release_attempts );
}

auto reservation_group::release_at( std::size_t index, int attempts ) -> void
{
    client_.release( targets_[index], id_,
                     retry( &reservation_group::release_at, index, attempts,
                            release_retry_delay ) );
}

}
