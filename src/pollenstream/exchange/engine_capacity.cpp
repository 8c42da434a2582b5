#include <pollenstream/exchange/engine_capacity.hpp>

namespace pollenstream::exchange
{

namespace
{

/// Share of an engine's KV memory that is handed out. The rest is a reserve:
/// the load reported by other instances is some milliseconds old, and an engine
/// that runs out of memory has to repeat the prefill of a prompt.
constexpr auto usable_memory_share = 0.97;

auto configured_pass_ms( engine_speed const& speed, target_entry const& t )
    -> double
{
    return decode_pass_ms( speed, t.load.decoding, t.load.context_tokens );
}

}

auto usable_memory( engine_speed const& speed ) -> std::int64_t
{
    return static_cast<std::int64_t>(
        static_cast<double>( speed.memory_tokens ) * usable_memory_share );
}

auto free_memory( engine_speed const& speed, target_entry const& t )
    -> std::int64_t
{
    return usable_memory( speed ) - t.load.memory_tokens;
}

auto has_free_slot( engine_speed const& speed, target_entry const& t ) -> bool
{
    return t.load.requests < speed.slots;
}

auto pass_ms( engine_speed const& speed, target_entry const& t ) -> double
{
    return configured_pass_ms( speed, t ) * t.slowdown;
}

auto part_time_ms( engine_speed const& speed,
                   target_entry const& t,
                   double prefill_ms ) -> double
{
    return prefill_ms +
           ( t.load.decoding > 0 ? configured_pass_ms( speed, t ) : 0.0 );
}

auto weight_delayed_by( target_entry const& t, double pause_ms ) -> double
{
    auto delayed = 0.0;
    for ( auto const& [gap, group] : t.load.by_tolerated_gap )
        if ( static_cast<double>( gap ) < pause_ms )
            delayed += group.weight;
    return delayed;
}

auto ms_of( core::duration d ) -> double
{
    return core::seconds_of( d ) * 1'000;
}

}
