#ifndef POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP
#define POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP

#include <pollenstream/core/units.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenstream::exchange
{

// Answers that an exchange gives by itself, in whichever part of its life.

/// Retry-After where a target turned a call away: another one, or the same a
/// moment later, may take it.
inline constexpr auto retry_after_turned_away =
    core::duration( std::chrono::milliseconds( 60 ) );
inline constexpr auto status_bad_gateway = 502;
inline constexpr auto status_unavailable = 503;
inline constexpr auto status_gateway_timeout = 504;

/// Those who are refused together come back spread over this time.
inline constexpr auto return_spread =
    core::duration( std::chrono::milliseconds( 300 ) );

/// Retry-After where `waiting` others wait: the longer the queue, the later.
inline auto pause_for_queue( std::size_t waiting ) -> core::duration
{
    constexpr auto for_each_waiting =
        core::duration( std::chrono::milliseconds( 10 ) );
    constexpr auto most = core::duration( std::chrono::milliseconds( 1500 ) );
    return std::min( most,
                     for_each_waiting * static_cast<std::int64_t>( waiting ) );
}

}

#endif
