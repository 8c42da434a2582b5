#ifndef POLLENSTREAM_EXCHANGE_ENGINE_CAPACITY_HPP
#define POLLENSTREAM_EXCHANGE_ENGINE_CAPACITY_HPP

#include <pollenstream/exchange/engine_model.hpp>
#include <pollenstream/exchange/load_table.hpp>

#include <cstdint>

namespace pollenstream::exchange
{

/// Tokens of memory that may be handed out at an engine without load.
auto usable_memory( engine_speed const& speed ) -> std::int64_t;
/// Tokens of memory that may still be handed out at `t`.
auto free_memory( engine_speed const& speed, target_entry const& t )
    -> std::int64_t;
/// True if `t` can start one more request.
auto has_free_slot( engine_speed const& speed, target_entry const& t ) -> bool;
/// Passes until the first event of a prompt: on average half of the current one
/// and the one with its own prefill, which other prompts that join make longer.
inline constexpr auto first_event_per_pass = 1.6;
/// Time until the first event of a prompt per time of the prefills before it:
/// the engine decodes between their chunks.
inline constexpr auto first_event_per_backlog = 1.7;

/// Milliseconds of a decode pass at `t` with the requests that it decodes now,
/// at its present speed.
auto pass_ms( engine_speed const& speed, target_entry const& t ) -> double;
/// Milliseconds that `t` takes for a part of `prefill_ms` if it runs as
/// configured; the load table adds its slowdown. If `t` decodes, the part
/// shares the engine with a decode pass, whose time is added.
auto part_time_ms( engine_speed const& speed,
                   target_entry const& t,
                   double prefill_ms ) -> double;

/// Total weight of the requests at `t` that do not tolerate a pause of
/// `pause_ms` between two events.
auto weight_delayed_by( target_entry const& t, double pause_ms ) -> double;

auto ms_of( core::duration d ) -> double;

}

#endif
