#ifndef POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP
#define POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <random>

namespace pollenstream::exchange
{

// Answers that an exchange gives by itself, in whichever part of its life.

/// Retry-After where a target turned a call away: another one, or the same a
/// moment later, may take it.
inline constexpr auto retry_after_turned_away =
    core::duration( std::chrono::milliseconds( 60 ) );
/// Retry-After where no target is known.
inline constexpr auto retry_after_no_target =
    core::duration( std::chrono::milliseconds( 400 ) );
/// Reason of an answer to a request for which targets have no room by the
/// limits that they name.
inline constexpr auto limited_reason = "limited";
/// Reason of an answer to a request that ends its targets.
inline constexpr auto quarantined_reason = "quarantined";
inline constexpr auto status_bad_gateway = 502;
inline constexpr auto status_unavailable = 503;
inline constexpr auto status_gateway_timeout = 504;

/// Retry-After of a request that found no room, when there may be some: the
/// later the more others wait, and for a wide prompt not before those that were
/// before it are read. `shortest_prefill` is its own at best, zero for others.
/// Those who are refused together come back spread.
auto retry_after_no_capacity( std::size_t waiting,
                              core::duration shortest_prefill,
                              std::minstd_rand& random ) -> core::duration;

}

#endif
