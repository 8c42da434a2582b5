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
/// A target carries out a call that it has not answered at most this much
/// later.
constexpr auto longest_call_delay = core::duration( 12s );
/// Time between releases that are repeated because of late calls. With a
/// release that is lost it is still less than the 2 s from which operators
/// count memory without a request.
constexpr auto repeated_release_period = core::duration( 1s );

/// True if the target may have received the call and may not have carried it
/// out yet.
auto may_be_carried_out_late( core::result<void> const& status ) -> bool
{
    return status.has_error() &&
           ( status.error().code == core::error_code::timed_out ||
             status.error().code == core::error_code::connection_lost );
}

}

reservation_group::reservation_group( reservation_client& client,
                                      ports::scheduler& scheduler,
                                      core::reservation_id id,
                                      std::vector<target_memory> targets,
                                      core::duration max_hold,
                                      core::duration max_unused )
    : client_( client ), scheduler_( scheduler ), id_( std::move( id ) ),
      hold_( std::min( hold_time, max_hold ) ), max_unused_( max_unused )
{
    for ( auto& memory : targets )
        targets_.push_back( { std::move( memory ), {} } );
}

auto reservation_group::start( ready_callback ready, expired_callback expired )
    -> void
{
    ready_ = std::move( ready );
    expired_ = std::move( expired );
    pending_ = targets_.size();
    for ( auto i = std::size_t{ 0 }; i < targets_.size(); ++i )
        reserve_at( i,
                    [self = shared_from_this(), i]( auto const& status )
                    {
                        self->on_reserved( i, status );
                    } );
}

/// Calls `callback` with the target's answer to a call that reserves or renews.
auto reservation_group::reserve_at( std::size_t index,
                                    reservation_client::done callback ) -> void
{
    client_.reserve( targets_[index].memory, id_, hold_,
                     [self = shared_from_this(), index,
                      sent_at = scheduler_.now(),
                      callback = std::move( callback )]( auto const& status )
                     {
                         if ( may_be_carried_out_late( status ) )
                             self->note_unanswered( index, sent_at );
                         callback( status );
                     } );
}

auto reservation_group::note_unanswered( std::size_t index,
                                         core::instant sent_at ) -> void
{
    auto& latest = targets_[index].late_call_until;
    latest = std::max( latest, sent_at + longest_call_delay );
    if ( released_ )
        release_again( index );
}

auto reservation_group::on_reserved( std::size_t index,
                                     core::result<void> const& status ) -> void
{
    --pending_;
    if ( released_ || !ready_ )
        return;
    if ( status.has_error() )
    {
        auto const ready = std::exchange( ready_, nullptr );
        release();
        ready( status );
        return;
    }
    note_held( index );
    if ( pending_ > 0 )
        return;
    // A shorter hold time ends with the request, before the first renewal.
    if ( hold_ > renewal_period )
        arm_expiry_timer();
    arm_unused_timer();
    renewal_ = scheduler_.call_after( renewal_period,
                                      [this]
                                      {
                                          renew();
                                      } );
    auto const ready = std::exchange( ready_, nullptr );
    ready( core::success() );
}

/// The target has answered a call that reserves or renews, so the hold time
/// began before now.
auto reservation_group::note_held( std::size_t index ) -> void
{
    targets_[index].held_until = scheduler_.now() + hold_;
}

auto reservation_group::arm_expiry_timer() -> void
{
    auto const first = std::min_element( targets_.begin(), targets_.end(),
                                         []( auto const& a, auto const& b )
                                         {
                                             return a.held_until < b.held_until;
                                         } );
    expiry_ = scheduler_.call_after( first->held_until - scheduler_.now(),
                                     [self = weak_from_this()]
                                     {
                                         if ( auto const group = self.lock() )
                                             group->on_expiry_timer();
                                     } );
}

/// Releases the memory everywhere once one target must have dropped its own.
/// The request cannot be completed then. If that target is unreachable, its
/// connection times out later than operators tolerate memory without a request.
auto reservation_group::on_expiry_timer() -> void
{
    auto const fired_timer = std::move( expiry_ );
    auto const now = scheduler_.now();
    auto const expired_at = std::find_if( targets_.begin(), targets_.end(),
                                          [now]( auto const& target )
                                          {
                                              return target.held_until <= now;
                                          } );
    if ( expired_at == targets_.end() )
        return arm_expiry_timer();
    expire( expired_at->memory.target );
}

/// Releases the memory and reports that `target` is the reason.
auto reservation_group::expire( core::target_id const& target ) -> void
{
    auto const expired = expired_;
    release();
    expired( target );
}

auto reservation_group::arm_unused_timer() -> void
{
    if ( max_unused_ == core::duration::max() )
        return;
    unused_ = scheduler_.call_after(
        max_unused_,
        [self = weak_from_this()]
        {
            auto const group = self.lock();
            if ( !group )
                return;
            auto const fired_timer = std::move( group->unused_ );
            group->expire( group->targets_.front().memory.target );
        } );
}

auto reservation_group::note_used() -> void
{
    unused_.reset();
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
    reserve_at( index,
                [self = shared_from_this(), index,
                 again = retry( &reservation_group::renew_at, index, attempts,
                                renewal_retry_delay )]( auto const& status )
                {
                    if ( !status.has_error() )
                        self->note_held( index );
                    again( status );
                } );
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
    ready_ = nullptr;
    expired_ = nullptr;
    renewal_.reset();
    expiry_.reset();
    unused_.reset();
    for ( auto i = std::size_t{ 0 }; i < targets_.size(); ++i )
    {
        release_at( i, max_release_attempts );
        release_again( i );
    }
}

auto reservation_group::release_again( std::size_t index ) -> void
{
    auto& target = targets_[index];
    if ( target.is_released_again || scheduler_.now() > target.late_call_until )
        return;
    target.is_released_again = true;
    call_later( repeated_release_period,
                [self = shared_from_this(), index]
                {
                    self->on_release_due( index );
                } );
}

auto reservation_group::on_release_due( std::size_t index ) -> void
{
    targets_[index].is_released_again = false;
    release_at( index, max_release_attempts );
    release_again( index );
}

auto reservation_group::release_at( std::size_t index, int attempts ) -> void
{
    client_.release( targets_[index].memory, id_,
                     retry( &reservation_group::release_at, index, attempts,
                            release_retry_delay ) );
}

}
