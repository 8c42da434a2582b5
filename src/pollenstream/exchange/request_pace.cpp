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

/// A target that gets nothing cannot say that it takes more again: one that
/// names no room at all is asked this often, in requests a second.
constexpr auto least_rate = 0.1;
/// What is sent this much late does not put off what follows: rounds of what
/// waits are some ms apart, and grants take their time.
constexpr auto longest_lateness = core::duration( 100ms );

auto distance( double rate ) -> core::duration
{
    return core::duration_of( 1 / rate );
}

}

auto request_pace::begin( double per_second, core::instant now ) -> void
{
    rate_ = std::max( per_second, least_rate );
    began_ = now;
    due_ = now + distance( rate_ );
    last_uncoordinated_.reset();
}

/// Requests that are still to be waited for stay as many.
auto request_pace::change( double per_second, core::instant now ) -> void
{
    auto const former =
        std::exchange( rate_, std::max( per_second, least_rate ) );
    if ( due_ > now )
        due_ = now + core::duration_of( core::seconds_of( due_ - now ) *
                                        former / rate_ );
}

auto request_pace::note_sent( core::instant at, std::size_t requests ) -> void
{
    auto const from = std::max( due_, at - longest_lateness );
    auto const due =
        from + core::duration_of( static_cast<double>( requests ) / rate_ );
    // What instances sent before they heard of the limit is out of every window
    // after that.
    due_ =
        std::min( due, at + std::max( sent_times::window, distance( rate_ ) ) );
}

auto request_pace::note_uncoordinated( core::instant at ) -> void
{
    last_uncoordinated_ = at;
}

auto request_pace::next( limit_use use,
                         limit_shares const& shares,
                         sent_times const& sent ) const -> core::instant
{
    if ( use == limit_use::for_all )
        return next_for_all( shares.for_all, sent );
    return std::max( next_uncoordinated( shares ), next_for_all( 1, sent ) );
}

/// The distances alone keep the limit in the long run. What was sent before it
/// was known has to be paid back within the window too.
auto request_pace::next_for_all( double share, sent_times const& sent ) const
    -> core::instant
{
    auto const due = due_ + core::duration_of( ( 1 / share - 1 ) / rate_ );
    auto const in_window =
        std::floor( rate_ * share * core::seconds_of( sent_times::window ) );
    if ( in_window >= static_cast<double>( sent_times::max_kept ) )
        return due;
    auto const most = static_cast<std::size_t>( in_window ) + 1;
    return std::max( due, sent.fewer_than( most ) );
}

auto request_pace::next_uncoordinated( limit_shares const& shares ) const
    -> core::instant
{
    auto const own_distance = 1 / ( rate_ * shares.uncoordinated );
    if ( last_uncoordinated_ )
        return *last_uncoordinated_ + core::duration_of( own_distance );
    return began_ + core::duration_of( own_distance * shares.phase );
}

}
