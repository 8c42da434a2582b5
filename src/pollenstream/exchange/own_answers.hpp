#ifndef POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP
#define POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <random>

namespace pollenstream::exchange
{

// Constants of the answers that the gateway gives itself, without a target.

/// Retry-After when a target has turned a call away. Another target may accept
/// it, or the same one a moment later.
inline constexpr auto retry_after_turned_away =
    core::duration( std::chrono::milliseconds( 60 ) );
/// Retry-After when no target is known.
inline constexpr auto retry_after_no_target =
    core::duration( std::chrono::milliseconds( 400 ) );
/// Retry-After when the operator has drained the data centres of all targets.
/// The end of the drain is not known; the pause keeps callers from repeating
/// requests that would be refused again.
inline constexpr auto retry_after_drained =
    core::duration( std::chrono::seconds( 1 ) );
/// Reason for refusing a request whose targets are all in drained data centres.
inline constexpr auto drained_reason = "drained";
/// Reason for refusing a request because of the rate limits that targets name.
inline constexpr auto limited_reason = "limited";
/// Reason for refusing a request whose content crashes targets.
inline constexpr auto quarantined_reason = "quarantined";
inline constexpr auto status_bad_gateway = 502;
inline constexpr auto status_unavailable = 503;
inline constexpr auto status_gateway_timeout = 504;

/// Pause of a split prompt, as a multiple of its shortest prefill. By then the
/// engines have finished the prompts before it.
inline constexpr auto pause_per_prefill = 2;
/// A waiting request is refused this long before its caller would leave, so
/// that the caller still receives the Retry-After header.
inline constexpr auto refusal_margin =
    core::duration( std::chrono::milliseconds( 150 ) );
/// A prompt that has found no engine is refused at the latest after this time.
/// Callers have to know after 3 s, since one that is refused later has little
/// time left to return; the rest covers the way of the answer.
inline constexpr auto max_time_to_refusal =
    core::duration( std::chrono::milliseconds( 2'950 ) );
/// The coordinator refuses a waiting prompt this long before the instance that
/// has the request does so itself. It covers a round of the wait queue and
/// several round trips between data centres.
inline constexpr auto coordinator_lead =
    core::duration( std::chrono::milliseconds( 60 ) );

/// Retry-After of a request for which no target had capacity. It grows with the
/// number of requests that wait, and for a split prompt allows for the prefill
/// of the prompts before it. `shortest_prefill` is the time that its own
/// prefill takes at best, or zero if the prompt is not split. A random part
/// spreads the return of requests that are refused together.
auto retry_after_no_capacity( std::size_t waiting,
                              core::duration shortest_prefill,
                              std::minstd_rand& random ) -> core::duration;

}

#endif
