#include <pollenstream/exchange/trial_schedule.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Pause before the first trial: in this time requests that run already may be
/// served.
constexpr auto first_pause = core::duration( 300ms );
/// Pause before the second trial; each later one is `pause_factor` times as
/// long as the one before.
constexpr auto second_pause = core::duration( 2s );
constexpr auto pause_factor = 5;
constexpr auto longest_pause = core::duration( 30min );
/// Step after a trial that is not free, at least: from there on, three pauses
/// are longer than crashes are remembered.
constexpr auto step_after_free = std::int64_t{ 3 };
/// States that are as old as each other, but for the delay of a message.
constexpr auto message_skew = core::duration( 50ms );

}

auto trial_schedule::begin( core::instant now, bool is_free ) -> void
{
    step_before_ = step_;
    step_ = is_free ? step_ + 1 : std::max( step_ + 1, step_after_free );
    since_ = now;
}

auto trial_schedule::revoke( core::instant now ) -> void
{
    step_ = step_before_;
    since_ = now;
}

auto trial_schedule::merge( trial_schedule const& other ) -> void
{
    if ( other.since_ > since_ + message_skew )
        *this = other;
    else if ( other.since_ + message_skew >= since_ )
        step_ = std::max( step_, other.step_ );
}

auto trial_schedule::merge_recorded( std::int64_t step ) -> void
{
    step_ = std::max( step_, step );
}

auto trial_schedule::next() const -> core::instant
{
    if ( step_ == 0 )
        return since_ + first_pause;
    auto pause = second_pause;
    for ( auto i = std::int64_t{ 1 }; i < step_ && pause < longest_pause; ++i )
        pause *= pause_factor;
    return since_ + std::min( pause, longest_pause );
}

}
