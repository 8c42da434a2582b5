#include <pollenstream/exchange/engine_room.hpp>
#include <pollenstream/exchange/placement.hpp>

#include <algorithm>
#include <cmath>
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
/// Time in which instances place requests without knowing of each other's
/// choices: messages are gathered for 8 ms, and a busy small machine takes tens
/// of ms to read them. Short prompts are spread over as many free places as
/// arrive in it, thrice, so that no engine is chosen by all at once.
constexpr auto unseen_seconds = 0.1;
/// Free places over which short prompts are spread at least.
constexpr auto least_spread = 6.0;
/// Predicted first events that differ by less are taken for equal: a third of
/// a pass, which nobody knows the beginning of.
constexpr auto equally_soon_ms = 15.0;
/// A plain target of another place is chosen only where it has this much less
/// load, in parts of its slots.
constexpr auto far_place_load = 0.34;

auto was_tried( placement_demand const& demand, core::target_id const& id )
    -> bool
{
    return std::find( demand.tried.begin(), demand.tried.end(), id ) !=
           demand.tried.end();
}

/// An engine that may take a short prompt.
struct short_option
{
    std::shared_ptr<board_target> target;
    double first_ms{ 0 }; ///< predicted first event, from now
    double room{ 0 };     ///< requests that it may still take
};

auto room_of( board_target const& t, std::int64_t most ) -> double
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

/// The option on which `draw` falls, each as likely as it has room.
auto drawn_from( std::vector<short_option> const& options, double draw )
    -> short_option const&
{
    auto total = 0.0;
    for ( auto const& o : options )
        total += o.room;
    auto left = draw * total;
    for ( auto const& o : options )
    {
        left -= o.room;
        if ( left < 0 )
            return o;
    }
    return options.back();
}

}

auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool
{
    return read_ms( speed, demand.prompt_tokens ) >
           ms_of( demand.tightest_gap ) * long_part_of_gap;
}

placement::placement( target_board const& board, core::place_id own_place )
    : board_( board ), own_place_( std::move( own_place ) )
{
}

auto placement::usable( placement_demand const& demand,
                        core::instant now ) const -> candidates
{
    auto found = candidates{};
    auto shunned = candidates{};
    for ( auto const& t : board_.of_service( demand.service ) )
    {
        if ( !t->takes_work() || was_tried( demand, t->facts.id ) )
            continue;
        ( t->may_get_work( now ) ? found : shunned ).push_back( t );
    }
    // Where all are shunned the belief is worth less than a try.
    return found.empty() ? shunned : found;
}

auto placement::choose( placement_demand const& demand,
                        service_settings const& service,
                        core::instant now ) const -> placement_result
{
    auto const targets = usable( demand, now );
    if ( targets.empty() )
        return nothing( no_choice::no_targets );
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
    constexpr auto told_is_fresh = core::duration( 100'000 );
    auto best = std::shared_ptr<board_target>{};
    auto best_load = std::numeric_limits<double>::infinity();
    for ( auto const& t : targets )
    {
        auto const slots =
            static_cast<double>( std::max<std::int64_t>( 1, t->facts.slots ) );
        auto busy = static_cast<double>( t->load.requests );
        if ( t->told && now - t->told_at < told_is_fresh )
            busy = std::max( busy, static_cast<double>( t->told->running +
                                                        t->told->waiting ) );
        auto load = busy / slots;
        if ( t->facts.place != own_place_ )
            load += far_place_load;
        if ( load < best_load )
        {
            best = t;
            best_load = load;
        }
    }
    auto choice = placement_choice{};
    choice.targets.push_back( best );
    choice.parts.push_back( { best->facts.id, 0, 0, best->facts.lifetime } );
    return { choice, no_choice::full };
}

auto placement::choose_short( placement_demand const& demand,
                              engine_speed const& speed,
                              candidates const& targets,
                              core::instant now ) const -> placement_result
{
    auto const own_read = read_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const gap = ms_of( demand.gap_objective );
    auto const packed = static_cast<std::int64_t>(
        std::ceil( static_cast<double>( speed.slots ) * packed_share ) );
    auto const window = std::max(
        least_spread,
        board_.arrivals_per_second( demand.service, now ) * unseen_seconds );
    auto preferred = std::vector<short_option>{};
    auto others = std::vector<short_option>{};
    auto room = 0.0;
    for ( auto const& t : targets )
    {
        if ( !has_slot( speed, *t ) || free_memory( speed, *t ) < memory )
            continue;
        auto const reading = t->backlog_ms( now ) + own_read;
        auto const first = reading + pass_ms( speed, *t );
        if ( t->load.requests < packed && first < gap * short_pass_of_gap )
        {
            preferred.push_back( { t, first, room_of( *t, packed ) } );
            room += preferred.back().room;
            if ( room >= window )
                break;
        }
        else
        {
            others.push_back( { t, first, room_of( *t, speed.slots ) } );
        }
    }
    if ( preferred.empty() )
        preferred = soonest_of( std::move( others ) );
    if ( preferred.empty() )
        return nothing( no_choice::full );
    auto const& best = drawn_from( preferred, demand.draw );
    auto choice = placement_choice{};
    choice.targets.push_back( best.target );
    choice.parts.push_back( { best.target->facts.id, own_read, memory,
                              best.target->facts.lifetime } );
    choice.first_event_ms = best.first_ms;
    return { choice, no_choice::full };
}

}
