#ifndef POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP
#define POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/message.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <string_view>

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
/// Retry-After when this instance is cut off from all targets. Another one
/// serves the request at once.
inline constexpr auto retry_after_cut =
    core::duration( std::chrono::milliseconds( 20 ) );
/// Retry-After when the process is about to end: callers find another instance
/// at once.
inline constexpr auto retry_after_stop = core::duration( 0 );
/// Reason for refusing a request because no target can be reached from here.
inline constexpr auto cut_reason = "cut_from_targets";
/// Reason for refusing a request whose attempts have reached no target.
inline constexpr auto unreached_reason = "not_reached";
/// Reasons for refusing requests while the process has no configuration, while
/// it is about to end, and as it ends.
inline constexpr auto no_configuration_reason = "no_configuration";
inline constexpr auto stopping_reason = "stopping";
inline constexpr auto process_ends_reason = "process_ends";
/// Reason for refusing a request whose targets are all in drained data centres.
inline constexpr auto drained_reason = "drained";
/// Reason for refusing a request because of the rate limits that targets name.
inline constexpr auto limited_reason = "limited";
/// Reason for refusing a request whose content crashes targets.
inline constexpr auto quarantined_reason = "quarantined";
/// Reason for refusing a request whose body finds no memory.
inline constexpr auto no_memory_reason = "no_memory";
inline constexpr auto status_bad_gateway = 502;
inline constexpr auto status_unavailable = 503;
inline constexpr auto status_gateway_timeout = 504;

/// True if `reason` is the state of this instance alone, so that another one
/// may serve the request at once.
auto is_own_state( std::string_view reason ) -> bool;

/// The header field for a Retry-After of `time`.
auto retry_after_header( core::duration time ) -> header_field;

/// Retry-After of a quarantined request: when the next trial of the quarantine
/// has probably been answered. `until_trial`: time until that trial may begin.
/// Nullopt if it is too far away to invite the caller.
auto retry_after_quarantined( core::duration until_trial )
    -> std::optional<core::duration>;

/// Retry-After of a request for which no target had capacity. It grows with the
/// number of requests that wait, and for a split prompt allows for the prefill
/// of the prompts before it. `shortest_prefill` is the time that its own
/// prefill takes at best, or zero if the prompt is not split. A random part
/// spreads the return of requests that are refused together.
auto retry_after_no_capacity( std::size_t waiting,
                              core::duration shortest_prefill,
                              std::minstd_rand& random ) -> core::duration;

/// Retry-After of a request whose body finds no memory beside the `open`
/// requests; memory becomes free as they end. A random part spreads the return
/// of requests that are refused together.
auto retry_after_no_memory( std::size_t open, std::minstd_rand& random )
    -> core::duration;

}

#endif
