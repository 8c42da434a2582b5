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

/// A prompt is long where reading it takes more than this part of the
/// shortest pause that a route of the service tolerates: beside writers of
/// that route it would spoil their answers.
constexpr auto long_part_of_gap = 0.6;
/// Part of the tolerated pause up to which short prompts join the reading and
/// writing of an engine. More would leave nothing for those that arrive within
/// the same pass; less spreads a clump of arrivals over many engines.
constexpr auto short_pass_of_gap = 0.8;
/// Share of an engine's slots up to which short prompts are packed before the
/// next engine is opened; packing leaves whole engines for long prompts.
constexpr auto packed_share = 0.9;
/// Short prompts are spread over as many free places as arrive in this time, so
/// that those that come within a pass do not all wait for the same one. An
/// instance that places without its coordinators also does not know of others'
/// choices for some tens of ms. Without the spread 0.653 of worth instead of
/// 0.660 (45 engines, ten played days).
constexpr auto unseen_seconds = 0.1;
/// Free places over which short prompts are spread at least.
constexpr auto least_spread = 6.0;
/// Passes from a short prompt's arrival to its first event: what is left of the
/// present one, and the one in which it is read. What waits to be read prolongs
/// both. Fitted to 26,600 first events of engines that read short prompts only.
/// With one pass and one backlog they came 52 ms later than predicted; where
/// more than 60 ms waited it was 117 ms, and 37 in 100 were late.
constexpr auto first_per_pass = 1.6;
constexpr auto first_per_backlog = 1.7;
/// Part of the latency objective that the predicted first event of a short
/// prompt may take; the rest is for those that join unseen.
constexpr auto first_of_objective = 0.65;
/// Reading of one that joins, at least.
constexpr auto least_join_ms = 15.0;
/// Long prompts are pressing while this share of the engines reads for longer
/// than short prompts would. Short ones are then packed closer, though some are
/// late: an engine that is opened for one of them reads no long prompt.
constexpr auto pressing_share = 0.25;
constexpr auto long_reading_ms = 150.0;
/// Predicted first events that differ by less are taken for equal: a third of
/// a pass, which nobody knows the beginning of.
constexpr auto equally_soon_ms = 15.0;
/// A plain target of another place is chosen only where it has this much less
/// load, in parts of its slots.
constexpr auto far_place_load = 0.34;

auto contains( std::vector<core::target_id> const& all,
               core::target_id const& id ) -> bool
{
    return std::find( all.begin(), all.end(), id ) != all.end();
}

/// True where long prompts wait, or take many of the engines.
auto long_prompts_dominate(
    placement_demand const& demand,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    core::instant now ) -> bool
{
    if ( demand.others_in_time )
        return true;
    auto const reading =
        std::count_if( targets.begin(), targets.end(),
                       [now]( auto const& t )
                       {
                           return t->backlog_ms( now ) > long_reading_ms;
                       } );
    return static_cast<double>( reading ) >=
           pressing_share * static_cast<double>( targets.size() );
}

/// An engine that may take a short prompt.
struct short_option
{
    std::shared_ptr<target_entry> target;
    double first_ms{ 0 }; ///< predicted first event, from now
    double capacity{ 0 }; ///< requests that it may still take
    /// Short prompts that it may read at once, this one included, before the
    /// first event of one is late.
    double joins{ 0 };
};

/// `target` as it is for a short prompt that reads for `own_read_ms`.
auto option_for( placement_demand const& demand,
                 engine_speed const& speed,
                 std::shared_ptr<target_entry> const& target,
                 double own_read_ms,
                 core::instant now ) -> short_option
{
    auto option = short_option{ target, 0, 0, 0 };
    option.first_ms = target->backlog_ms( now ) * first_per_backlog +
                      own_read_ms + pass_ms( speed, *target ) * first_per_pass;
    auto const latest = ms_of( demand.latency_objective ) * first_of_objective;
    option.joins = 1 + std::floor( ( latest - option.first_ms ) /
                                   std::max( own_read_ms, least_join_ms ) );
    return option;
}

auto room_of( target_entry const& t, std::int64_t most ) -> double
{
    return static_cast<double>( most - t.load.requests );
}

/// Those of `options` whose first event comes about as soon as the soonest.
auto soonest_of( std::vector<short_option> options )
    -> std::vector<short_option>
{
    auto soonest = std::numeric_limits<double>::infinity();
    for ( auto const& o : options )
        soonest = std::min( soonest, o.first_ms );
    std::erase_if( options,
                   [soonest]( auto const& o )
                   {
                       return o.first_ms > soonest + equally_soon_ms;
                   } );
    return options;
}

/// False for what the request is not to be sent to.
auto is_left( placement_demand const& demand, target_entry const& target )
    -> bool
{
    return target.takes_work() &&
           !contains( demand.tried, target.properties.id ) &&
           !contains( demand.paused, target.properties.id );
}

/// True where a limit leaves room for as many requests as the target serves at
/// once: its slots bind before the limit does, as those of others.
auto has_ample_limit( target_entry const& target, core::instant now ) -> bool
{
    auto const limit = target.limit.per_second();
    auto const in_window =
        limit.value_or( 0 ) * core::seconds_of( sent_times::window );
    auto const sent = static_cast<double>( target.limit.sent_in_window( now ) );
    return in_window - sent >= static_cast<double>( target.properties.slots );
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

/// The option on which `draw` falls, each as likely as it has room.
auto drawn_from( std::vector<short_option> const& options, double draw )
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
           ms_of( demand.min_gap_objective ) * long_part_of_gap;
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
    for ( auto const& t : load_table_.of_service( demand.service ) )
    {
        if ( !is_left( demand, *t ) )
            continue;
        if ( !load_table_.may_send( *t, demand.limits, now ) )
            found.more = true;
        else if ( !t->may_get_work( now ) )
            found.ejected.push_back( t );
        else if ( t->limit.per_second() && ( demand.only_to_probe_limits ||
                                             !has_ample_limit( *t, now ) ) )
            found.limited.push_back( t );
        else
            found.free.push_back( t );
    }
    return found;
}

auto placement::capacity_by_limits( placement_demand const& demand ) const
    -> std::optional<limited_capacity>
{
    auto capacity = limited_capacity{ core::instant::max(), 0 };
    for ( auto const& t : load_table_.of_service( demand.service ) )
    {
        if ( !t->limit.per_second() || !is_left( demand, *t ) )
            continue;
        capacity.first =
            std::min( capacity.first,
                      t->limit.next( demand.limits, load_table_.shares() ) );
        capacity.per_second +=
            t->limit.rate( demand.limits, load_table_.shares() );
    }
    return capacity.per_second > 0 ? std::optional( capacity ) : std::nullopt;
}

auto limited_capacity::behind( std::size_t ahead ) const -> core::instant
{
    return first +
           core::duration_of( static_cast<double>( ahead ) / per_second );
}

/// True where a target is left once pauses are over.
auto placement::pauses_only( placement_demand const& demand ) const -> bool
{
    return std::any_of( demand.paused.begin(), demand.paused.end(),
                        [&]( auto const& id )
                        {
                            auto const at = load_table_.find( id );
                            return at && at->takes_work() &&
                                   !contains( demand.tried, id );
                        } );
}

auto placement::choose( placement_demand const& demand,
                        service_settings const& service,
                        core::instant now ) const -> placement_result
{
    auto const found = options( demand, now );
    auto result = choose_limit_probe( found, demand, service, now );
    if ( !result.choice )
        result = choose_in_turn( found, demand, service, now );
    if ( result.choice )
        result.choice->basis = basis_of( result.choice->targets, now );
    return result;
}

/// A limited target that has got nothing for long, for a request that it serves
/// alone: its answer tells whether it still needs its limit.
auto placement::choose_limit_probe( target_options const& options,
                                    placement_demand const& demand,
                                    service_settings const& service,
                                    core::instant now ) const
    -> placement_result
{
    auto const is_small = !service.engine || demand.prompt_tokens == 0 ||
                          !is_long_prompt( *service.engine, demand );
    if ( options.free.empty() || !is_small || demand.crashes > 0 )
        return not_placed( placement_obstacle::full );
    for ( auto const& t : options.limited )
        if ( t->limit.is_limit_stale( now ) )
            return choose_from( { t }, demand, service, now );
    return not_placed( placement_obstacle::full );
}

/// A limit is room: targets without one come first, those that have room by
/// theirs next. Where all are shunned the belief is worth less than a try.
auto placement::choose_in_turn( target_options const& options,
                                placement_demand const& demand,
                                service_settings const& service,
                                core::instant now ) const -> placement_result
{
    auto result = not_placed( placement_obstacle::no_targets );
    if ( !options.free.empty() )
        result = choose_from( options.free, demand, service, now );
    else if ( demand.only_to_probe_limits && options.has_limited() )
        return not_placed( placement_obstacle::limited );
    if ( !result.choice && !demand.only_to_probe_limits &&
         !options.limited.empty() )
    {
        auto all = options.free;
        all.insert( all.end(), options.limited.begin(), options.limited.end() );
        result = choose_from( all, demand, service, now );
    }
    if ( result.choice || result.reason != placement_obstacle::no_targets )
        return result;
    if ( !options.ejected.empty() )
        return choose_from( options.ejected, demand, service, now );
    if ( options.more )
        return not_placed( placement_obstacle::limited );
    return not_placed( pauses_only( demand ) ? placement_obstacle::paused
                                             : placement_obstacle::no_targets );
}

auto placement::choose_from( candidates const& targets,
                             placement_demand const& demand,
                             service_settings const& service,
                             core::instant now ) const -> placement_result
{
    return demand.crashes > 0 ? choose_apart( targets, demand, service, now )
                              : choose_among( targets, demand, service, now );
}

/// For a content under suspicion. Of all that broke off when a target ended one
/// may end the next one too: two that run at the same target could not be told
/// apart when that ends, so that each gets its own where there are enough. One
/// that has met two ends goes where the least runs beside it.
auto placement::choose_apart( candidates const& targets,
                              placement_demand const& demand,
                              service_settings const& service,
                              core::instant now ) const -> placement_result
{
    auto apart = candidates{};
    std::copy_if( targets.begin(), targets.end(), std::back_inserter( apart ),
                  []( auto const& t )
                  {
                      return t->load.suspects == 0;
                  } );
    if ( demand.crashes > 1 && !apart.empty() )
        apart = { *std::min_element( apart.begin(), apart.end(),
                                     []( auto const& a, auto const& b )
                                     {
                                         return a->load.requests <
                                                b->load.requests;
                                     } ) };
    if ( !apart.empty() )
    {
        auto result = choose_among( apart, demand, service, now );
        if ( result.choice )
            return result;
    }
    return choose_among( targets, demand, service, now );
}

auto placement::choose_among( candidates const& targets,
                              placement_demand const& demand,
                              service_settings const& service,
                              core::instant now ) const -> placement_result
{
    if ( !service.engine || demand.prompt_tokens == 0 )
        return choose_plain( targets, now );
    auto const& speed = *service.engine;
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const most = usable_memory( speed );
    if ( memory > most )
        return choose_reserved( demand, speed, targets, now );
    if ( is_long_prompt( speed, demand ) )
    {
        auto const has_room =
            std::any_of( targets.begin(), targets.end(),
                         [&]( auto const& t )
                         {
                             return free_memory( speed, *t ) >= memory;
                         } );
        return has_room ? choose_long( demand, speed, targets, now )
                        : choose_reserved( demand, speed, targets, now );
    }
    return choose_short( demand, speed, targets, now );
}

auto placement::choose_plain( candidates const& targets,
                              core::instant now ) const -> placement_result
{
    constexpr auto reported_load_is_fresh = core::duration( 100'000 );
    auto best = std::shared_ptr<target_entry>{};
    auto best_load = std::numeric_limits<double>::infinity();
    for ( auto const& t : targets )
    {
        auto const slots = static_cast<double>(
            std::max<std::int64_t>( 1, t->properties.slots ) );
        auto busy = static_cast<double>( t->load.requests );
        if ( t->reported && now - t->reported_at < reported_load_is_fresh )
            busy =
                std::max( busy, static_cast<double>( t->reported->running +
                                                     t->reported->waiting ) );
        auto load = busy / slots;
        if ( t->properties.data_centre != own_data_centre_ )
            load += far_place_load;
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

auto placement::choose_short( placement_demand const& demand,
                              engine_speed const& speed,
                              candidates const& targets,
                              core::instant now ) const -> placement_result
{
    auto const own_read = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const longest_pass = ms_of( demand.gap_objective ) * short_pass_of_gap;
    auto const packed = static_cast<std::int64_t>(
        std::ceil( static_cast<double>( speed.slots ) * packed_share ) );
    auto const window = std::max(
        least_spread, load_table_.arrivals_per_second( demand.service, now ) *
                          unseen_seconds );
    auto const pressing = long_prompts_dominate( demand, targets, now );
    auto preferred = std::vector<short_option>{};
    auto others = std::vector<short_option>{};
    auto capacity = 0.0;
    for ( auto const& t : targets )
    {
        if ( !has_free_slot( speed, *t ) || free_memory( speed, *t ) < memory )
            continue;
        auto option = option_for( demand, speed, t, own_read, now );
        auto const pass =
            t->backlog_ms( now ) + own_read + pass_ms( speed, *t );
        if ( t->load.requests < packed && pass < longest_pass &&
             ( pressing || option.joins >= 1 ) )
        {
            auto const most = pressing ? window - capacity : option.joins;
            option.capacity = std::min( room_of( *t, packed ), most );
            capacity += option.capacity;
            preferred.push_back( std::move( option ) );
            if ( capacity >= window )
                break;
        }
        else
        {
            option.capacity = room_of( *t, speed.slots );
            others.push_back( std::move( option ) );
        }
    }
    if ( preferred.empty() )
        preferred = soonest_of( std::move( others ) );
    if ( preferred.empty() )
        return not_placed( placement_obstacle::full );
    auto const& best = drawn_from( preferred, demand.draw );
    auto choice = placement_choice{};
    choice.targets.push_back( best.target );
    choice.parts.push_back( { best.target->properties.id, own_read, memory,
                              best.target->properties.lifetime } );
    choice.first_event_ms = best.first_ms;
    return { choice, placement_obstacle::full };
}

}
