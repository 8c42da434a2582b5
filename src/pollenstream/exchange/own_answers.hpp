#ifndef POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP
#define POLLENSTREAM_EXCHANGE_OWN_ANSWERS_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>

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

}

#endif
