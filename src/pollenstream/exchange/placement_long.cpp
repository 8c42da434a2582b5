#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// Longest time in ms that one part of a long prompt should take; shorter
/// parts gain little beside a pass of writing.
constexpr auto part_goal_ms = 180.0;
/// Prompts that make this many parts or more take turns: those below mostly go
/// to one engine.
constexpr auto split_parts = 3.0;
/// Longest part of a long prompt, in parts of its own pause objective: who
/// joins the engine meanwhile as a rule comes from such a route.
constexpr auto part_of_own_gap = 0.55;
/// Longest part of a prompt that is larger than one engine, in parts of its
/// latency objective.
constexpr auto part_of_objective = 0.8;
/// The writer of a long answer is drawn among one of so many engines, if these
/// delayed_weight equally little, so that a large fleet's long answers do not
/// all wait for one. Spread over three of 14, answers that tolerate 600 ms kept
/// five engines from reading larger parts.
constexpr auto engines_per_writer = std::size_t{ 15 };
/// How much sooner in ms a division into one more part has to end: each part
/// costs its engine a pass. Where all engines are busy a prompt in many parts
/// keeps others from starting, and finds engines that are free at one moment
/// the more rarely.
constexpr auto idle_part_cost_ms = 15.0;
constexpr auto busy_part_cost_ms = 135.0;
/// Answers that an engine writes from which it counts as busy.
constexpr auto busy_requests = std::int64_t{ 5 };

auto part_cost( std::vector<std::shared_ptr<target_entry>> const& targets,
                core::instant now ) -> double
{
    auto const busy =
        std::count_if( targets.begin(), targets.end(),
                       [now]( auto const& t )
                       {
                           return t->backlog_ms( now ) > 0 ||
                                  t->load.requests >= busy_requests;
                       } );
    return idle_part_cost_ms + ( busy_part_cost_ms - idle_part_cost_ms ) *
                                   static_cast<double>( busy ) /
                                   static_cast<double>( targets.size() );
}

/// What placing a prompt of `total_ms` of reading in at most `max_parts` of
/// the engines may cost others.
auto limits_of_division(
    placement_demand const& demand,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    std::size_t max_parts,
    double total_ms,
    core::instant now ) -> division_limits
{
    auto limits = division_limits_for( demand, targets.size() );
    limits.max_parts = static_cast<double>( max_parts );
    limits.only_split_prefill_ms = demand.is_only_split_prompt ? total_ms : 0.0;
    limits.part_cost_ms = part_cost( targets, now );
    return limits;
}

auto make_choice( engine_speed const& speed, division const& divided )
    -> placement_choice
{
    auto choice = placement_choice{};
    for ( auto const& r : divided.engines )
    {
        choice.targets.push_back( r.target );
        choice.parts.push_back(
            { r.target->properties.id,
              part_time_ms( speed, *r.target, divided.part_ms ), 0,
              r.target->properties.lifetime } );
    }
    choice.first_event_ms =
        divided.finish_ms + pass_ms( speed, *choice.targets.front() );
    return choice;
}

}

auto is_split_prompt( engine_speed const& speed,
                      placement_demand const& demand ) -> bool
{
    return prefill_ms( speed, demand.prompt_tokens ) >
           part_goal_ms * split_parts;
}

auto placement::choose_long( placement_demand const& demand,
                             engine_speed const& speed,
                             candidates const& targets,
                             core::instant now ) const -> placement_result
{
    auto const total = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const max_parts = std::min( targets.size(), max_helpers + 1 );
    auto const limits =
        limits_of_division( demand, targets, max_parts, total, now );
    // The longer a request waits, the fewer engines it makes do with.
    auto const most_part = ms_of( demand.gap_objective ) * part_of_own_gap *
                           ( 1 + core::seconds_of( demand.waited ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 1 }; parts <= max_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > most_part )
            continue;
        auto const writer = choose_decode_target( speed, targets, memory,
                                                  part_ms, demand.draw, now );
        if ( !writer )
            break;
        auto engines = prefill_candidates_of( speed, targets, part_ms, 0, now );
        std::erase_if( engines,
                       [&]( auto const& r )
                       {
                           return r.target == writer->target;
                       } );
        if ( engines.size() + 1 < parts )
            break;
        engines.resize( parts - 1 );
        engines.insert( engines.begin(), *writer );
        keep_if_better( best, std::move( engines ), part_ms, limits );
        if ( part_ms < part_goal_ms )
            break;
    }
    if ( !best )
        return not_placed( placement_obstacle::full );
    auto choice = make_choice( speed, *best );
    choice.parts.front().memory_tokens = memory;
    return { std::move( choice ), placement_obstacle::full };
}

/// The engine that holds a long prompt's memory and writes its answer: one
/// that writes such answers already, so that others stay free to read.
auto placement::choose_decode_target( engine_speed const& speed,
                                      candidates const& targets,
                                      std::int64_t memory,
                                      double part_ms,
                                      double draw,
                                      core::instant now ) const
    -> std::optional<prefill_candidate>
{
    auto fitting = std::vector<prefill_candidate>{};
    for ( auto const& t : targets )
    {
        if ( !has_free_slot( speed, *t ) || free_memory( speed, *t ) < memory ||
             t->backlog_ms( now ) > max_decode_target_backlog_ms )
            continue;
        fitting.push_back( prefill_candidate_of( speed, t, part_ms, now ) );
    }
    if ( fitting.empty() )
        return std::nullopt;
    std::stable_sort( fitting.begin(), fitting.end(), is_better_decode_target );
    auto const most = std::min(
        fitting.size(),
        std::max( std::size_t{ 1 }, targets.size() / engines_per_writer ) );
    auto equal = std::size_t{ 1 };
    while ( equal < most &&
            fitting[equal].delayed_weight == fitting[0].delayed_weight &&
            fitting[equal].interactive_weight == fitting[0].interactive_weight )
        ++equal;
    auto const drawn =
        static_cast<std::size_t>( draw * static_cast<double>( equal ) );
    return fitting[std::min( drawn, equal - 1 )];
}

auto placement::choose_reserved( placement_demand const& demand,
                                 engine_speed const& speed,
                                 candidates const& targets,
                                 core::instant now ) const -> placement_result
{
    auto const total = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const most = usable_memory( speed );
    auto const service_targets =
        load_table_.of_service( demand.service ).size();
    if ( memory > most * static_cast<std::int64_t>(
                             std::min( service_targets, max_helpers ) ) )
        return not_placed( placement_obstacle::too_large );
    auto const max_parts = std::min( targets.size(), max_helpers );
    auto const limits =
        limits_of_division( demand, targets, max_parts, total, now );
    auto const most_part =
        std::max( ms_of( demand.latency_objective ) * part_of_objective,
                  total / static_cast<double>( max_parts ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 2 }; parts <= max_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > most_part )
            continue;
        auto engines = prefill_candidates_of(
            speed, targets, part_ms, part_memory( memory, parts ), now );
        if ( engines.size() < parts )
            continue;
        engines.resize( parts );
        if ( !has_free_slot( speed, *engines.front().target ) )
            continue;
        keep_if_better( best, std::move( engines ), part_ms, limits );
        if ( part_ms < part_goal_ms )
            break;
    }
    if ( !best )
        return not_placed( placement_obstacle::full );
    auto choice = make_choice( speed, *best );
    choice.needs_reservation = true;
    for ( auto& part : choice.parts )
        part.memory_tokens = part_memory( memory, choice.parts.size() );
    return { std::move( choice ), placement_obstacle::full };
}

}
