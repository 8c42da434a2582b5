#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/placement.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace pollenstream::exchange
{

namespace
{

/// A prompt is long if its prefill takes more than this share of the shortest
/// pause objective of the service's routes: on the same engine it would delay
/// the answers of those routes.
constexpr auto long_prefill_per_gap = 0.6;
/// Share of the pause objective up to which short prompts join an engine's
/// passes. A larger share leaves no time for prompts that arrive within the
/// same pass; a smaller one spreads a burst of arrivals over many engines.
constexpr auto max_pass_per_gap = 0.8;
/// Share of an engine's slots that short prompts fill before the next engine
/// gets any. Packing keeps whole engines free for long prompts.
constexpr auto packed_slot_share = 0.9;
/// Short prompts are spread over capacity for as many requests as arrive in
/// this time, so that those that arrive within one pass do not all wait at the
/// same engine. An instance that places without a coordinator also learns of
/// other instances' choices only after some tens of milliseconds.
constexpr auto spread_window_seconds = 0.1;
/// Minimum capacity, in requests, over which short prompts are spread.
constexpr auto min_spread = 6.0;
/// Factors of the predicted first event of a short prompt. It comes after the
/// rest of the current pass and the pass with its own prefill, and a backlog
/// prolongs both. With factors of one, first events come 52 ms later than
/// predicted, and 117 ms later behind a backlog above 60 ms.
constexpr auto first_event_per_pass = 1.6;
constexpr auto first_event_per_backlog = 1.7;
/// Share of the latency objective that the predicted first event of a short
/// prompt may take. The rest is a reserve for prompts that join the engine
/// without this instance knowing.
constexpr auto max_first_event_per_objective = 0.65;
/// Minimum prefill time assumed for each prompt that joins.
constexpr auto min_join_prefill_ms = 15.0;
/// Long prompts dominate while this share of the engines has a backlog above
/// `long_backlog_ms`, which short prompts alone do not cause. Short prompts are
/// then packed closer, although some get late: an engine that gets one of them
/// takes no part of long prompts.
constexpr auto long_engine_share = 0.25;
constexpr auto long_backlog_ms = 150.0;
/// Predicted first events that differ by less count as equal. It is a third of
/// a pass: when an engine's current pass began is not known.
constexpr auto equal_first_event_ms = 15.0;
/// Added to the load of plain targets in other data centres, as a share of
/// their slots: one of them is chosen only if its load is lower by more.
constexpr auto remote_load_penalty = 0.34;

auto contains( std::vector<core::target_id> const& all,
               core::target_id const& id ) -> bool
{
    return std::find( all.begin(), all.end(), id ) != all.end();
}

/// True if long prompts wait or occupy a large share of the engines.
auto long_prompts_dominate(
    placement_demand const& demand,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    core::instant now ) -> bool
{
    if ( demand.others_in_time )
        return true;
    auto const busy =
        std::count_if( targets.begin(), targets.end(),
                       [now]( auto const& t )
                       {
                           return t->backlog_ms( now ) > long_backlog_ms;
                       } );
    return static_cast<double>( busy ) >=
           long_engine_share * static_cast<double>( targets.size() );
}

/// The targets with those in `data_centre` first, each group in its order.
auto local_first( std::vector<std::shared_ptr<target_entry>> targets,
                  core::data_centre_id const& data_centre )
    -> std::vector<std::shared_ptr<target_entry>>
{
    std::stable_partition( targets.begin(), targets.end(),
                           [&]( auto const& t )
                           {
                               return t->properties.data_centre == data_centre;
                           } );
    return targets;
}

/// An engine that may take a short prompt.
struct short_option
{
    std::shared_ptr<target_entry> target;
    double first_event_ms{ 0 }; ///< predicted first event, from now
    double capacity{ 0 };       ///< requests that it may still get
    /// Short prompts that can join it at once, this one included, until a first
    /// event is late.
    double max_joining{ 0 };
};

/// The option that `target` is for a short prompt with a prefill of
/// `own_prefill_ms`.
auto option_for( placement_demand const& demand,
                 engine_speed const& speed,
                 std::shared_ptr<target_entry> const& target,
                 double own_prefill_ms,
                 core::instant now ) -> short_option
{
    auto option = short_option{ target, 0, 0, 0 };
    option.first_event_ms =
        target->backlog_ms( now ) * first_event_per_backlog + own_prefill_ms +
        pass_ms( speed, *target ) * first_event_per_pass;
    auto const max_first_event_ms =
        ms_of( demand.latency_objective ) * max_first_event_per_objective;
    option.max_joining =
        1 + std::floor( ( max_first_event_ms - option.first_event_ms ) /
                        std::max( own_prefill_ms, min_join_prefill_ms ) );
    return option;
}

/// Requests that `t` may still get until it has `max_requests`.
auto capacity_of( target_entry const& t, std::int64_t max_requests ) -> double
{
    return static_cast<double>( max_requests - t.load.requests );
}

/// The options with the earliest predicted first event, or an equal one.
auto earliest_of( std::vector<short_option> options )
    -> std::vector<short_option>
{
    auto earliest_ms = std::numeric_limits<double>::infinity();
    for ( auto const& o : options )
        earliest_ms = std::min( earliest_ms, o.first_event_ms );
    std::erase_if( options,
                   [earliest_ms]( auto const& o )
                   {
                       return o.first_event_ms >
                              earliest_ms + equal_first_event_ms;
                   } );
    return options;
}

/// False if the request must not be sent to `target` now: it accepts no work,
/// was tried before, or is paused.
auto is_eligible( placement_demand const& demand, target_entry const& target )
    -> bool
{
    return target.takes_work() &&
           !contains( demand.tried, target.properties.id ) &&
           !contains( demand.paused, target.properties.id );
}

/// True if the target's limit allows as many requests now as the target has
/// slots. Then its slots run out before its limit does, as at targets without a
/// limit.
auto has_ample_limit( target_entry const& target, core::instant now ) -> bool
{
    auto const limit = target.limit.per_second( now );
    auto const allowed_in_window =
        limit.value_or( 0 ) * core::seconds_of( sent_times::window );
    auto const sent = static_cast<double>( target.limit.sent_in_window( now ) );
    return allowed_in_window - sent >=
           static_cast<double>( target.properties.slots );
}

auto basis_of( std::vector<std::shared_ptr<target_entry>> const& targets,
               core::instant now ) -> choice_basis
{
    auto const& first = targets.front()->load;
    auto basis = choice_basis{ first.requests, first.parts_prefilling, 0 };
    for ( auto const& t : targets )
        basis.backlog_ms = std::max( basis.backlog_ms, t->backlog_ms( now ) );
    return basis;
}

/// The option selected by `draw`, with probabilities proportional to capacity.
auto draw_from( std::vector<short_option> const& options, double draw )
    -> short_option const&
{
    auto total = 0.0;
    for ( auto const& o : options )
        total += o.capacity;
    auto left = draw * total;
    for ( auto const& o : options )
    {
        left -= o.capacity;
        if ( left < 0 )
            return o;
    }
    return options.back();
}

}

auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool
{
    return prefill_ms( speed, demand.prompt_tokens ) >
           ms_of( demand.min_gap_objective ) * long_prefill_per_gap;
}

placement::placement( load_table const& loads,
                      core::data_centre_id own_data_centre )
    : load_table_( loads ), own_data_centre_( std::move( own_data_centre ) )
{
}

auto placement::options( placement_demand const& demand,
                         core::instant now ) const -> target_options
{
    auto found = target_options{};
    auto const& all = load_table_.of_service( demand.service );
    auto const first =
        static_cast<std::size_t>( load_table_.first_choice( demand.limits ) *
                                  static_cast<double>( all.size() ) );
    for ( auto i = std::size_t{ 0 }; i < all.size(); ++i )
    {
        auto const& t = all[( first + i ) % all.size()];
        if ( !is_eligible( demand, *t ) )
            continue;
        if ( !load_table_.may_send( *t, demand.limits, now ) )
            found.limited_later = true;
        else if ( !t->may_get_work( now ) )
            found.ejected.push_back( t );
        else if ( t->limit.per_second( now ) &&
                  ( demand.only_to_probe_limits ||
                    !has_ample_limit( *t, now ) ) )
            found.limited.push_back( t );
        else
            found.unlimited.push_back( t );
    }
    return found;
}

auto placement::capacity_by_limits( placement_demand const& demand,
                                    core::instant now ) const
    -> std::optional<limited_capacity>
{
    auto capacity = limited_capacity{ core::instant::max(), 0 };
    for ( auto const& t : load_table_.of_service( demand.service ) )
    {
        if ( !t->limit.per_second( now ) || !is_eligible( demand, *t ) )
            continue;
        capacity.available_at = std::min(
            capacity.available_at,
            t->limit.next( demand.limits, load_table_.shares(), now ) );
        capacity.per_second +=
            t->limit.rate( demand.limits, load_table_.shares(), now );
    }
    return capacity.per_second > 0 ? std::optional( capacity ) : std::nullopt;
}

auto limited_capacity::available_after( std::size_t requests_ahead ) const
    -> core::instant
{
    return available_at +
           core::duration_of( static_cast<double>( requests_ahead ) /
                              per_second );
}

/// True if a target remains after the end of its pause.
auto placement::has_paused_target( placement_demand const& demand ) const
    -> bool
{
    return std::any_of( demand.paused.begin(), demand.paused.end(),
                        [&]( auto const& id )
                        {
                            auto const at = load_table_.find( id );
                            return at && at->takes_work() &&
                                   !contains( demand.tried, id );
                        } );
}

/// True if a target remains in a data centre that the operator has drained.
auto placement::has_drained_target( placement_demand const& demand ) const
    -> bool
{
    auto const& all = load_table_.of_service( demand.service );
    return std::any_of( all.begin(), all.end(),
                        [&]( auto const& t )
                        {
                            return t->data_centre_drained && t->is_staying() &&
                                   !contains( demand.tried, t->properties.id );
                        } );
}

auto placement::choose( placement_demand const& demand,
                        service_settings const& service,
                        core::instant now ) const -> placement_result
{
    auto const found = options( demand, now );
    auto result = choose_limit_probe( found, demand, service, now );
    if ( !result.choice )
        result = choose_by_preference( found, demand, service, now );
    if ( result.choice )
        result.choice->basis = basis_of( result.choice->targets, now );
    return result;
}

/// Sends a small request to a limited target that has got none for a long time:
/// its answer tells whether the limit still holds.
auto placement::choose_limit_probe( target_options const& options,
                                    placement_demand const& demand,
                                    service_settings const& service,
                                    core::instant now ) const
    -> placement_result
{
    auto const is_small = !service.engine || demand.prompt_tokens == 0 ||
                          !is_long_prompt( *service.engine, demand );
    if ( options.unlimited.empty() || !is_small || demand.crashes > 0 )
        return not_placed( placement_obstacle::full );
    for ( auto const& t : options.limited )
        if ( t->limit.is_limit_stale( now ) )
            return choose_from( { t }, demand, service, now );
    return not_placed( placement_obstacle::full );
}

/// Prefers targets without a limit, then adds those whose limits allow a
/// request now. If only ejected targets remain, one of them is tried, as it may
/// have recovered.
auto placement::choose_by_preference( target_options const& options,
                                      placement_demand const& demand,
                                      service_settings const& service,
                                      core::instant now ) const
    -> placement_result
{
    auto result = not_placed( placement_obstacle::no_targets );
    if ( !options.unlimited.empty() )
        result = choose_from( options.unlimited, demand, service, now );
    else if ( demand.only_to_probe_limits && options.has_limited() )
        return not_placed( placement_obstacle::limited );
    if ( !result.choice && !demand.only_to_probe_limits &&
         !options.limited.empty() )
    {
        auto all = options.unlimited;
        all.insert( all.end(), options.limited.begin(), options.limited.end() );
        result = choose_from( all, demand, service, now );
    }
    if ( result.choice || result.reason != placement_obstacle::no_targets )
        return result;
    if ( !options.ejected.empty() )
        return choose_from( options.ejected, demand, service, now );
    if ( options.limited_later )
        return not_placed( placement_obstacle::limited );
    if ( has_paused_target( demand ) )
        return not_placed( placement_obstacle::paused );
    return not_placed( has_drained_target( demand )
                           ? placement_obstacle::drained
                           : placement_obstacle::no_targets );
}

auto placement::choose_from( candidates const& targets,
                             placement_demand const& demand,
                             service_settings const& service,
                             core::instant now ) const -> placement_result
{
    return demand.crashes > 0
               ? choose_isolated( targets, demand, service, now )
               : choose_by_prompt( targets, demand, service, now );
}

/// For a suspect content, which ran at a target when that ended and may end the
/// next one too. If two suspects run at the same target when it ends, either
/// may have ended it, so each gets a target without suspects if there is one. A
/// content that was present at two or more ends goes to such a target with the
/// fewest requests.
auto placement::choose_isolated( candidates const& targets,
                                 placement_demand const& demand,
                                 service_settings const& service,
                                 core::instant now ) const -> placement_result
{
    auto isolated = candidates{};
    std::copy_if( targets.begin(), targets.end(),
                  std::back_inserter( isolated ),
                  []( auto const& t )
                  {
                      return t->load.suspects == 0;
                  } );
    if ( demand.crashes > 1 && !isolated.empty() )
        isolated = { *std::min_element( isolated.begin(), isolated.end(),
                                        []( auto const& a, auto const& b )
                                        {
                                            return a->load.requests <
                                                   b->load.requests;
                                        } ) };
    if ( !isolated.empty() )
    {
        auto result = choose_by_prompt( isolated, demand, service, now );
        if ( result.choice )
            return result;
    }
    return choose_by_prompt( targets, demand, service, now );
}

auto placement::choose_by_prompt( candidates const& targets,
                                  placement_demand const& demand,
                                  service_settings const& service,
                                  core::instant now ) const -> placement_result
{
    if ( !service.engine || demand.prompt_tokens == 0 )
        return choose_plain( targets,
                             demand.data_centre.str().empty()
                                 ? own_data_centre_
                                 : demand.data_centre,
                             now );
    auto const& speed = *service.engine;
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const max_memory = usable_memory( speed );
    if ( memory > max_memory )
        return choose_reserved( demand, speed, targets, now );
    if ( is_long_prompt( speed, demand ) )
    {
        auto const fits_one_engine =
            std::any_of( targets.begin(), targets.end(),
                         [&]( auto const& t )
                         {
                             return free_memory( speed, *t ) >= memory;
                         } );
        return fits_one_engine ? choose_long( demand, speed, targets, now )
                               : choose_reserved( demand, speed, targets, now );
    }
    if ( service.prefers_own_data_centre )
        return choose_short( demand, speed,
                             local_first( targets, demand.data_centre ), now );
    return choose_short( demand, speed, targets, now );
}

/// The plain target with the lowest load relative to its slots, preferably in
/// the data centre `near`.
auto placement::choose_plain( candidates const& targets,
                              core::data_centre_id const& near,
                              core::instant now ) const -> placement_result
{
    constexpr auto max_reported_load_age = core::duration( 100'000 );
    auto best = std::shared_ptr<target_entry>{};
    auto best_load = std::numeric_limits<double>::infinity();
    for ( auto const& t : targets )
    {
        auto const slots = static_cast<double>(
            std::max<std::int64_t>( 1, t->properties.slots ) );
        auto busy = static_cast<double>( t->load.requests );
        if ( t->reported && now - t->reported_at < max_reported_load_age )
            busy =
                std::max( busy, static_cast<double>( t->reported->running +
                                                     t->reported->waiting ) );
        auto load = busy / slots;
        if ( t->properties.data_centre != near )
            load += remote_load_penalty;
        if ( load < best_load )
        {
            best = t;
            best_load = load;
        }
    }
    auto choice = placement_choice{};
    choice.targets.push_back( best );
    choice.parts.push_back(
        { best->properties.id, 0, 0, best->properties.lifetime } );
    return { choice, placement_obstacle::full };
}

/// Packs short prompts onto the first engines of `targets` that are predicted
/// to be in time, and draws among these. If there are none, the
/// engines with the earliest predicted first event are used.
auto placement::choose_short( placement_demand const& demand,
                              engine_speed const& speed,
                              candidates const& targets,
                              core::instant now ) const -> placement_result
{
    auto const own_prefill = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const max_pass_ms = ms_of( demand.gap_objective ) * max_pass_per_gap;
    auto const packed_slots = static_cast<std::int64_t>(
        std::ceil( static_cast<double>( speed.slots ) * packed_slot_share ) );
    auto const spread = std::max(
        min_spread, load_table_.arrivals_per_second( demand.service, now ) *
                        spread_window_seconds );
    auto const long_prompts_first =
        long_prompts_dominate( demand, targets, now );
    auto preferred = std::vector<short_option>{};
    auto others = std::vector<short_option>{};
    auto capacity = 0.0;
    for ( auto const& t : targets )
    {
        if ( !has_free_slot( speed, *t ) || free_memory( speed, *t ) < memory )
            continue;
        auto option = option_for( demand, speed, t, own_prefill, now );
        auto const pass =
            t->backlog_ms( now ) + own_prefill + pass_ms( speed, *t );
        if ( t->load.requests < packed_slots && pass < max_pass_ms &&
             ( long_prompts_first || option.max_joining >= 1 ) )
        {
            auto const max_here =
                long_prompts_first ? spread - capacity : option.max_joining;
            option.capacity =
                std::min( capacity_of( *t, packed_slots ), max_here );
            capacity += option.capacity;
            preferred.push_back( std::move( option ) );
            if ( capacity >= spread )
                break;
        }
        else
        {
            option.capacity = capacity_of( *t, speed.slots );
            others.push_back( std::move( option ) );
        }
    }
    if ( preferred.empty() )
        preferred = earliest_of( std::move( others ) );
    if ( preferred.empty() )
        return not_placed( placement_obstacle::full );
    auto const& best = draw_from( preferred, demand.draw );
    auto choice = placement_choice{};
    choice.targets.push_back( best.target );
    choice.parts.push_back( { best.target->properties.id, own_prefill, memory,
                              best.target->properties.lifetime } );
    choice.first_event_ms = best.first_event_ms;
    return { choice, placement_obstacle::full };
}

}
