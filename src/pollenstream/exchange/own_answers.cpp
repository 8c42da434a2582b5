#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <cstdint>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Added for each that waits: a short prompt is read in 20 to 35 ms, and
/// several engines read at once.
constexpr auto for_each_waiting = core::duration( 10ms );
/// Longest pause for the queue: callers of the shortest long route have no more
/// than 1.5 s to be in time.
constexpr auto longest_for_queue = core::duration( 1500ms );
/// In times of the shortest reading that a wide prompt could have: engines are
/// then through with what was before it.
constexpr auto pause_per_reading = 2;
/// Those who are refused together come back spread over this time.
constexpr auto return_spread = core::duration( 300ms );

}

auto pause_until_room( std::size_t waiting,
                       core::duration shortest_prefill,
                       std::minstd_rand& random ) -> core::duration
{
    auto const for_queue =
        std::min( longest_for_queue,
                  for_each_waiting * static_cast<std::int64_t>( waiting ) );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, return_spread.count() )( random );
    return std::max( for_queue, shortest_prefill * pause_per_reading ) +
           core::duration( spread );
}

}
