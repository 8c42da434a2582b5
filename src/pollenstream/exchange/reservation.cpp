#include <pollenstream/exchange/reservation.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// One hold. Shorter than the time after which operators count memory without
/// a request as lost (4 s on the first deployments): what a process that was
/// killed held, or an order that a target carries out late, frees itself.
constexpr auto hold_time = core::duration( 3500ms );
/// A hold in use is renewed after this, so that one renewal may be lost.
constexpr auto renewal_period = core::duration( 1500ms );
/// Tries of a renewal that fails, within its period.
constexpr auto renewal_tries = 3;
constexpr auto renewal_pause = core::duration( 300ms );
/// Tries to give memory back before its hold has to do it.
constexpr auto release_tries = 3;
constexpr auto release_pause = core::duration( 300ms );

}

reservation_group::reservation_group( reservation_caller& caller,
                                      ports::scheduler& scheduler,
                                      core::reservation_id id,
                                      std::vector<reservation_place> places,
                                      core::duration longest_hold )
    : caller_( caller ), scheduler_( scheduler ), id_( std::move( id ) ),
      places_( std::move( places ) ),
      hold_( std::min( hold_time, longest_hold ) )
{
}

auto reservation_group::start( ready callback ) -> void
{
    callback_ = std::move( callback );
    pending_ = places_.size();
    for ( auto const& place : places_ )
        caller_.reserve( place, id_, hold_,
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
    for ( auto i = std::size_t{ 0 }; i < places_.size(); ++i )
        renew_at( i, renewal_tries );
    renewal_ = scheduler_.call_after( renewal_period,
                                      [this]
                                      {
                                          renew();
                                      } );
}

/// A hold that ends cuts the request that uses it.
auto reservation_group::renew_at( std::size_t index, int tries ) -> void
{
    if ( released_ )
        return;
    caller_.reserve(
        places_[index], id_, hold_,
        retry( &reservation_group::renew_at, index, tries, renewal_pause ) );
}

auto reservation_group::retry( void ( reservation_group::*again )( std::size_t,
                                                                   int ),
                               std::size_t index,
                               int tries,
                               core::duration pause )
    -> reservation_caller::done
{
    return [self = shared_from_this(), again, index, tries,
            pause]( auto const& status )
    {
        if ( !status.has_error() || tries <= 1 )
            return;
        self->call_later( pause,
                          [self, again, index, tries]
                          {
                              ( *self.*again )( index, tries - 1 );
                          } );
    };
}

auto reservation_group::call_later( core::duration pause,
                                    std::function<void()> callback ) -> void
{
    auto holder = std::make_shared<std::unique_ptr<ports::scheduled_call>>();
    *holder = scheduler_.call_after( pause,
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
    for ( auto i = std::size_t{ 0 }; i < places_.size(); ++i )
        release_at( i, release_tries );
}

auto reservation_group::release_at( std::size_t index, int tries ) -> void
{
    caller_.release(
        places_[index], id_,
        retry( &reservation_group::release_at, index, tries, release_pause ) );
}

}
