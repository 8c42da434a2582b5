#include <pollenstream/scheduling/return_bookings.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace pollenstream::scheduling
{

namespace
{

using namespace std::chrono_literals;

/// Callers honour Retry-After up to this fraction of the time that they have
/// left.
constexpr auto honoured_fraction = 3;
/// A caller has to return within this time after its booked time.
constexpr auto return_window = core::duration( 1s );
/// Minimum time from a refusal to the booked time. The load of an engine
/// changes when a pass ends, and a pass of a busy engine takes about 50 ms.
constexpr auto min_delay = core::duration( 50ms );
/// A caller that returns early by no more than this is on time: Retry-After has
/// whole milliseconds, callers' timers deviate by about one, and another
/// coordinator knows the time only to the delay of a datagram.
constexpr auto max_timer_error = core::duration( 5ms );

/// Rounds up to whole milliseconds, as Retry-After is sent.
auto rounded_up( core::duration d ) -> core::duration
{
    return std::chrono::ceil<std::chrono::milliseconds>( d );
}

/// Sorts before the content of every booking.
constexpr auto lowest_content =
    core::content_id( std::numeric_limits<std::int64_t>::min() );

auto lapses_at( booking const& what ) -> core::instant
{
    return what.at + return_window;
}

}

auto return_bookings::booked_before( refused_prompt const& refused ) const
    -> core::duration
{
    auto sum = core::duration( 0 );
    auto const first =
        std::pair( refused.service, std::numeric_limits<int>::min() );
    auto const last = std::pair( refused.service, refused.priority );
    for ( auto at = prefill_.lower_bound( first );
          at != prefill_.end() && at->first <= last; ++at )
        sum += at->second;
    return sum;
}

auto return_bookings::book( refused_prompt const& refused,
                            prefill_capacity const& capacity,
                            core::instant now ) -> std::optional<booking>
{
    drop_lapsed( now );
    if ( refused.content == core::content_id() || capacity.engines <= 0 )
        return std::nullopt;
    auto const found = entries_.find( refused.content );
    if ( found != entries_.end() && !found->second.is_taken &&
         found->second.what.at > now )
        return found->second.what;
    auto const work = capacity.ahead + booked_before( refused );
    auto const delay = rounded_up(
        std::max( { work / capacity.engines, min_delay, refused.earliest } ) );
    if ( delay > refused.time_left / honoured_fraction ||
         delay + refused.first_event > refused.time_left )
        return std::nullopt;
    auto const made = booking{ refused.content, refused.service, now + delay,
                               refused.prefill, refused.priority };
    close( refused.content );
    insert( made, true, now );
    counters_.made.add();
    return made;
}

auto return_bookings::take( core::content_id content,
                            core::service_id const& service,
                            core::instant arrived,
                            core::instant now ) -> caller_return
{
    drop_lapsed( now );
    auto const found = entries_.find( content );
    if ( found == entries_.end() || found->second.is_taken ||
         found->second.what.service != service )
        return {};
    auto& known = found->second;
    auto const at = known.what.at;
    if ( arrived <= known.made )
        return { return_kind::repeated, at };
    if ( now + max_timer_error < at )
    {
        counters_.early.add();
        return { return_kind::early, at };
    }
    known.is_taken = true;
    by_time_.erase( { at, content } );
    add_prefill( known.what, -known.what.prefill );
    return { return_kind::on_time, at };
}

auto return_bookings::release( core::content_id content ) -> void
{
    auto const found = entries_.find( content );
    if ( found == entries_.end() || !found->second.is_taken )
        return;
    auto& known = found->second;
    known.is_taken = false;
    by_time_.emplace( known.what.at, content );
    add_prefill( known.what, known.what.prefill );
}

auto return_bookings::close( core::content_id content ) -> bool
{
    auto const found = entries_.find( content );
    if ( found == entries_.end() )
        return false;
    if ( found->second.is_taken )
        counters_.kept.add();
    else if ( found->second.is_own )
        counters_.dropped.add();
    erase( found );
    return true;
}

auto return_bookings::add( booking const& other, core::instant now ) -> void
{
    drop_lapsed( now );
    if ( other.content == core::content_id() || lapses_at( other ) < now )
        return;
    auto const found = entries_.find( other.content );
    if ( found != entries_.end() )
    {
        if ( found->second.is_taken )
            return;
        erase( found );
    }
    insert( other, false, now );
}

auto return_bookings::remove( core::content_id content ) -> void
{
    auto const found = entries_.find( content );
    if ( found != entries_.end() && !found->second.is_taken )
        erase( found );
}

auto return_bookings::size( core::instant now ) const -> std::size_t
{
    auto const lapsed = std::distance(
        by_time_.begin(),
        by_time_.lower_bound( { now - return_window, lowest_content } ) );
    return entries_.size() - static_cast<std::size_t>( lapsed );
}

auto return_bookings::next( core::instant now ) const
    -> std::optional<core::instant>
{
    auto const found = by_time_.lower_bound( { now, lowest_content } );
    return found == by_time_.end() ? std::nullopt
                                   : std::optional( found->first );
}

auto return_bookings::insert( booking what, bool is_own, core::instant now )
    -> void
{
    if ( entries_.size() >= max_bookings )
        evict_oldest();
    auto const serial = ++last_serial_;
    by_serial_.emplace( serial, what.content );
    by_time_.emplace( what.at, what.content );
    add_prefill( what, what.prefill );
    auto const content = what.content;
    entries_.emplace( content,
                      entry{ std::move( what ), now, serial, is_own, false } );
}

auto return_bookings::erase( entry_map::iterator at ) -> void
{
    auto const& known = at->second;
    by_serial_.erase( known.serial );
    if ( !known.is_taken )
    {
        by_time_.erase( { known.what.at, known.what.content } );
        add_prefill( known.what, -known.what.prefill );
    }
    entries_.erase( at );
}

auto return_bookings::add_prefill( booking const& what, core::duration change )
    -> void
{
    auto const key = std::pair( what.service, what.priority );
    auto& sum = prefill_[key];
    sum += change;
    if ( sum == core::duration( 0 ) )
        prefill_.erase( key );
}

auto return_bookings::drop_lapsed( core::instant now ) -> void
{
    while ( !by_time_.empty() && by_time_.begin()->first < now - return_window )
    {
        auto const found = entries_.find( by_time_.begin()->second );
        if ( found->second.is_own )
            counters_.lapsed.add();
        erase( found );
    }
}

auto return_bookings::evict_oldest() -> void
{
    auto const found = entries_.find( by_serial_.begin()->second );
    if ( found->second.is_own )
        counters_.dropped.add();
    erase( found );
}

}
