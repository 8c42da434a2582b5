#include <pollenstream/exchange/own_answers.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Added for each waiting request. A short prompt takes 20 to 35 ms to prefill,
/// and several engines prefill at once.
constexpr auto pause_per_waiting = core::duration( 10ms );
/// Upper bound of the pause for waiting requests. Among the routes for long
/// prompts, the shortest latency objective is 1.5 s.
constexpr auto max_queue_pause = core::duration( 1500ms );
/// Pause of a split prompt, as a multiple of its shortest prefill. By then the
/// engines have finished the prompts before it.
constexpr auto pause_per_prefill = 2;
/// The random part of the pause: requests that are refused together come back
/// spread over this time.
constexpr auto return_spread = core::duration( 300ms );
/// Callers are not asked to wait longer for the next trial of a quarantine.
constexpr auto longest_wait_for_trial = core::duration( 3s );
/// Until a trial has shown that its suspects are sound.
constexpr auto trial_answer_time = core::duration( 1s );

}

auto is_own_state( std::string_view reason ) -> bool
{
    constexpr auto reasons = std::array<std::string_view, 6>{
        cut_reason,      unreached_reason,    no_configuration_reason,
        stopping_reason, process_ends_reason, no_memory_reason };
    return std::find( reasons.begin(), reasons.end(), reason ) != reasons.end();
}

auto retry_after_header( core::duration time ) -> header_field
{
    auto text = std::to_string( core::seconds_of( time ) );
    constexpr auto digits = std::size_t{ 4 };
    return { "Retry-After", text.substr( 0, text.find( '.' ) + digits ) };
}

auto retry_after_quarantined( core::duration until_trial )
    -> std::optional<core::duration>
{
    if ( until_trial > longest_wait_for_trial )
        return std::nullopt;
    return std::max( until_trial, core::duration( 0 ) ) + trial_answer_time;
}

auto retry_after_no_capacity( std::size_t waiting,
                              core::duration shortest_prefill,
                              std::minstd_rand& random ) -> core::duration
{
    auto const queue_pause =
        std::min( max_queue_pause,
                  pause_per_waiting * static_cast<std::int64_t>( waiting ) );
    auto const spread = std::uniform_int_distribution<std::int64_t>(
        0, return_spread.count() )( random );
    return std::max( queue_pause, shortest_prefill * pause_per_prefill ) +
           core::duration( spread );
}

auto retry_after_no_memory( std::size_t open, std::minstd_rand& random )
    -> core::duration
{
    return retry_after_no_capacity( open, core::duration( 0 ), random );
}

}
