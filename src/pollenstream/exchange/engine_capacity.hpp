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
/// True where `t` may begin on one more request.
auto has_slot( engine_speed const& speed, target_entry const& t ) -> bool;
/// Milliseconds of a pass of writing at `t` with what it writes now.
auto pass_ms( engine_speed const& speed, target_entry const& t ) -> double;
/// Time that `t` takes for a part of `prefill_ms`: where answers are written, a
/// pass of writing comes with it.
auto part_time_ms( engine_speed const& speed,
                   target_entry const& t,
                   double prefill_ms ) -> double;

/// Weight of the requests at `t` that tolerate no pause of `pause_ms`.
auto harmed_by( target_entry const& t, double pause_ms ) -> double;

auto ms_of( core::duration d ) -> double;

}

#endif
