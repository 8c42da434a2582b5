#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/prompt_division.hpp>
#include <pollenstream/exchange/short_prompt_chooser.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace pollenstream::exchange
{

namespace
{

/// Share of their slots to which engines are filled before short prompts are
/// spread over one more. With half of them, an engine has room for as many
/// again: a burst finds a slot where the load is even, and engines without
/// answers are left to a long prompt that nobody forecast.
constexpr auto spread_slot_share = 0.5;

/// Engines that the open requests at `targets` fill to that share.
auto engines_filled( engine_list const& targets ) -> std::size_t
{
    auto requests = std::int64_t{ 0 };
    auto slots = std::int64_t{ 0 };
    for ( auto const& t : targets )
    {
        requests += t->load.requests;
        slots += t->properties.slots;
    }
    auto const filled = static_cast<double>( requests ) /
                        ( static_cast<double>( slots ) * spread_slot_share );
    return static_cast<std::size_t>(
        std::ceil( filled * static_cast<double>( targets.size() ) ) );
}

/// True if streams with different gap objectives are served by `service`.
auto has_different_gaps( route_configuration const& configuration,
                         core::service_id const& service ) -> bool
{
    auto gaps = std::set<core::duration>{};
    for ( auto const& r : configuration.routes )
        for ( auto const& s : r.services )
            if ( r.kind == request_kind::stream && s.service == service )
                gaps.insert( r.gap_objective );
    return gaps.size() > 1;
}

/// The longest prompt that `is_long_prompt` does not call long.
auto longest_short_prompt( engine_speed const& speed, core::duration min_gap )
    -> core::token_count
{
    auto demand = placement_demand{};
    demand.min_gap_objective = min_gap;
    auto low = std::int64_t{ 0 };
    auto high = std::max<std::int64_t>( 1, speed.memory_tokens );
    while ( low < high )
    {
        demand.prompt_tokens = ( low + high + 1 ) / 2;
        if ( is_long_prompt( speed, demand ) )
            high = demand.prompt_tokens - 1;
        else
            low = demand.prompt_tokens;
    }
    return core::token_count( low );
}

/// Engines of `targets` that a short prompt may join without being late or
/// having its answer, or another one, interrupted.
auto in_time_options( placement_demand const& demand,
                      engine_speed const& speed,
                      engine_list const& targets,
                      std::size_t count,
                      core::instant now ) -> std::vector<short_option>
{
    auto const own_prefill = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto options = std::vector<short_option>{};
    for ( auto i = std::size_t{ 0 }; i < count; ++i )
    {
        auto const& t = targets[i];
        if ( t->load.requests >= packed_slots_of( speed ) ||
             free_memory( speed, *t ) < memory )
            continue;
        auto const pass =
            t->backlog_ms( now ) + own_prefill + pass_ms( speed, *t );
        auto option = option_for( demand, speed, t, own_prefill, now );
        if ( keeps_gap_objective( demand, pass ) && option.max_joining >= 1 )
            options.push_back( std::move( option ) );
    }
    return options;
}

/// Of the options with the earliest first event one with the fewest requests,
/// which `draw` selects if there are several.
auto least_loaded( std::vector<short_option> options, double draw )
    -> short_option
{
    options = earliest_of( std::move( options ) );
    auto fewest = std::numeric_limits<std::int64_t>::max();
    for ( auto const& o : options )
        fewest = std::min( fewest, o.target->load.requests );
    std::erase_if( options,
                   [fewest]( auto const& o )
                   {
                       return o.target->load.requests > fewest;
                   } );
    auto const drawn = static_cast<std::size_t>(
        draw * static_cast<double>( options.size() ) );
    return options[std::min( drawn, options.size() - 1 )];
}

}

auto spreading_chooser::choose( placement_demand const& demand,
                                engine_speed const& speed,
                                engine_list const& targets,
                                core::instant now ) const -> placement_result
{
    // An instance that chooses without a coordinator knows only its own work. A
    // split prompt that waits needs many engines at one moment.
    if ( demand.limits != limit_use::coordinated || demand.others_in_time )
        return packing_.choose( demand, speed, targets, now );
    auto const count =
        engines_for_short( load_table_, demand.service, targets, now );
    if ( !count )
        return packing_.choose( demand, speed, targets, now );
    auto options = in_time_options( demand, speed, targets, *count, now );
    if ( options.empty() )
        return packing_.choose( demand, speed, targets, now );
    return { choice_of( demand, speed,
                        least_loaded( std::move( options ), demand.draw ) ),
             placement_obstacle::full };
}

auto spread_services( route_configuration const& configuration )
    -> scheduling::mix_forecast::settings_by_service
{
    auto services = scheduling::mix_forecast::settings_by_service{};
    for ( auto const& [id, settings] : configuration.services )
        if ( settings.engine && has_different_gaps( configuration, id ) )
            services.emplace(
                id, scheduling::mix_settings{
                        longest_short_prompt(
                            *settings.engine,
                            configuration.min_gap_objective( id ) ),
                        core::duration_of( preferred_part_ms / 1'000 ) } );
    return services;
}

auto engines_for_short( load_table const& loads,
                        core::service_id const& service,
                        engine_list const& targets,
                        core::instant now ) -> std::optional<std::size_t>
{
    auto const prefilling =
        std::count_if( targets.begin(), targets.end(),
                       [now]( auto const& t )
                       {
                           return prefills_long_prompt( *t, now );
                       } );
    auto const count = loads.mix().engines_for_short(
        service, { targets.size(), static_cast<std::size_t>( prefilling ) },
        now );
    if ( !count )
        return std::nullopt;
    auto const filled = std::max( std::size_t{ 1 }, engines_filled( targets ) );
    // An even load without reserve would send each burst to the engines that
    // are kept for long prompts; packed, it disturbs fewer of them.
    if ( filled > *count && *count < targets.size() )
        return std::nullopt;
    return std::min( *count, filled );
}

auto engines_for_short( load_table const& loads,
                        core::service_id const& service,
                        core::instant now ) -> std::optional<std::size_t>
{
    auto accepting = loads.of_service( service );
    std::erase_if( accepting,
                   [now]( auto const& t )
                   {
                       return !t->may_get_work( now );
                   } );
    return engines_for_short( loads, service, accepting, now );
}

}
