#include <pollenstream/exchange/request_pace.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Minimum rate in requests a second, also for a limit of zero: a target that
/// gets no requests could never report a higher limit.
constexpr auto min_rate = 0.1;
/// A request that is sent at most this late does not delay the next ones:
/// rounds of the wait queue are some ms apart, and a grant takes time to
/// arrive.
constexpr auto max_lateness = core::duration( 100ms );

auto interval( double rate ) -> core::duration
{
    return core::duration_of( 1 / rate );
}

}

auto request_pace::start( double per_second, core::instant now ) -> void
{
    rate_ = std::max( per_second, min_rate );
    started_at_ = now;
    due_ = now + interval( rate_ );
    last_uncoordinated_.reset();
}

/// Scales the wait for the next request: the number of requests that were sent
/// ahead of the pace stays the same.
auto request_pace::set_rate( double per_second, core::instant now ) -> void
{
    auto const former =
        std::exchange( rate_, std::max( per_second, min_rate ) );
    if ( due_ > now )
        due_ = now + core::duration_of( core::seconds_of( due_ - now ) *
                                        former / rate_ );
}

auto request_pace::note_sent( core::instant at, std::size_t requests ) -> void
{
    auto const base = std::max( due_, at - max_lateness );
    auto const due =
        base + core::duration_of( static_cast<double>( requests ) / rate_ );
    // Requests sent in excess before the limit was known delay the next one by
    // a window at most: by then they have left every window.
    due_ =
        std::min( due, at + std::max( sent_times::window, interval( rate_ ) ) );
}

auto request_pace::note_uncoordinated( core::instant at ) -> void
{
    last_uncoordinated_ = at;
}

auto request_pace::next( limit_use use,
                         limit_shares const& shares,
                         sent_times const& sent ) const -> core::instant
{
    if ( use == limit_use::coordinated )
        return next_coordinated( shares.coordinated, sent );
    return std::max( next_uncoordinated( shares ),
                     next_coordinated( 1, sent ) );
}

/// Equal intervals keep the limit in the long run. The count within the window
/// also makes up for requests that were sent before the limit was known.
auto request_pace::next_coordinated( double share,
                                     sent_times const& sent ) const
    -> core::instant
{
    auto const due = due_ + core::duration_of( ( 1 / share - 1 ) / rate_ );
    auto const in_window =
        std::floor( rate_ * share * core::seconds_of( sent_times::window ) );
    if ( in_window >= static_cast<double>( sent_times::max_kept ) )
        return due;
    auto const count = static_cast<std::size_t>( in_window ) + 1;
    return std::max( due, sent.time_with_fewer_than( count ) );
}

auto request_pace::next_uncoordinated( limit_shares const& shares ) const
    -> core::instant
{
    auto const own_interval = 1 / ( rate_ * shares.uncoordinated );
    if ( last_uncoordinated_ )
        return *last_uncoordinated_ + core::duration_of( own_interval );
    return started_at_ + core::duration_of( own_interval * shares.phase );
}

}
