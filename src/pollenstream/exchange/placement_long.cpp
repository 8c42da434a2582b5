#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// A prompt whose prefill makes more than this many preferred parts is a split
/// prompt. Smaller ones mostly go to one engine.
constexpr auto min_split_parts = 3.0;
/// Longest part of a long prompt, as a share of its own pause objective: other
/// requests that join the engine meanwhile usually have a similar objective.
constexpr auto max_part_per_gap = 0.55;
/// Longest part of a prompt that exceeds the memory of one engine, as a share
/// of its latency objective.
constexpr auto max_part_per_objective = 0.8;
/// The decode target of a long prompt is drawn from one in this many engines,
/// if they are equally good, so that in a large fleet long answers do not all
/// wait for the same engine. More decode targets leave fewer engines for long
/// parts: if answers that tolerate pauses of 600 ms are spread over three of
/// 14, five engines cannot prefill larger parts.
constexpr auto engines_per_decode_target = std::size_t{ 15 };
/// How much sooner in ms the prefill has to end for each additional part, if no
/// engine is busy and if all are. Each part costs its engine a pass. If most
/// engines are busy, a prompt in many parts also keeps others from starting,
/// and it seldom finds that many engines free at the same time.
constexpr auto idle_part_cost_ms = 15.0;
constexpr auto busy_part_cost_ms = 135.0;
/// An engine with this many requests counts as busy even without a backlog.
constexpr auto min_busy_requests = std::int64_t{ 5 };

/// The cost of an additional part, interpolated by the share of busy engines.
auto part_cost( std::vector<std::shared_ptr<target_entry>> const& targets,
                core::instant now ) -> double
{
    auto const busy =
        std::count_if( targets.begin(), targets.end(),
                       [now]( auto const& t )
                       {
                           return t->backlog_ms( now ) > 0 ||
                                  t->load.requests >= min_busy_requests;
                       } );
    return idle_part_cost_ms + ( busy_part_cost_ms - idle_part_cost_ms ) *
                                   static_cast<double>( busy ) /
                                   static_cast<double>( targets.size() );
}

/// The limits for dividing a prompt with a prefill of `total_ms` into at most
/// `max_parts`.
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
    for ( auto const& candidate : divided.engines )
    {
        choice.targets.push_back( candidate.target );
        choice.parts.push_back(
            { candidate.target->properties.id,
              part_time_ms( speed, *candidate.target, divided.part_ms ), 0,
              candidate.target->properties.lifetime } );
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
           preferred_part_ms * min_split_parts;
}

/// Divides a long prompt that fits one engine among the decode target, which
/// holds all of its memory, and the best prefill candidates.
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
    // The longer a request has waited, the longer its parts may be, so that
    // fewer engines suffice.
    auto const max_part_ms = ms_of( demand.gap_objective ) * max_part_per_gap *
                             ( 1 + core::seconds_of( demand.waited ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 1 }; parts <= max_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > max_part_ms )
            continue;
        auto const decode_target = choose_decode_target(
            speed, targets, memory, part_ms, demand.draw, now );
        if ( !decode_target )
            break;
        auto engines = prefill_candidates_of( speed, targets, part_ms, 0, now );
        std::erase_if( engines,
                       [&]( auto const& candidate )
                       {
                           return candidate.target == decode_target->target;
                       } );
        if ( engines.size() + 1 < parts )
            break;
        engines.resize( parts - 1 );
        engines.insert( engines.begin(), *decode_target );
        keep_if_better( best, std::move( engines ), part_ms, limits );
        if ( part_ms < preferred_part_ms )
            break;
    }
    if ( !best )
        return not_placed( placement_obstacle::full );
    auto choice = make_choice( speed, *best );
    choice.parts.front().memory_tokens = memory;
    return { std::move( choice ), placement_obstacle::full };
}

/// Chooses the engine that holds the KV memory of a long prompt and decodes its
/// answer. Engines that already decode such answers are preferred, so that the
/// others stay free for prefill.
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
    auto const max_equal =
        std::min( fitting.size(),
                  std::max( std::size_t{ 1 },
                            targets.size() / engines_per_decode_target ) );
    auto equal = std::size_t{ 1 };
    while ( equal < max_equal &&
            fitting[equal].delayed_weight == fitting[0].delayed_weight &&
            fitting[equal].interactive_weight == fitting[0].interactive_weight )
        ++equal;
    auto const drawn =
        static_cast<std::size_t>( draw * static_cast<double>( equal ) );
    return fitting[std::min( drawn, equal - 1 )];
}

/// Divides a prompt that no engine can hold among at least two engines, each of
/// which reserves a share of its memory.
auto placement::choose_reserved( placement_demand const& demand,
                                 engine_speed const& speed,
                                 candidates const& targets,
                                 core::instant now ) const -> placement_result
{
    auto const total = prefill_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const max_memory = usable_memory( speed );
    auto const service_targets =
        load_table_.of_service( demand.service ).size();
    if ( memory > max_memory * static_cast<std::int64_t>(
                                   std::min( service_targets, max_helpers ) ) )
        return not_placed( placement_obstacle::too_large );
    auto const max_parts = std::min( targets.size(), max_helpers );
    auto const limits =
        limits_of_division( demand, targets, max_parts, total, now );
    auto const max_part_ms =
        std::max( ms_of( demand.latency_objective ) * max_part_per_objective,
                  total / static_cast<double>( max_parts ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 2 }; parts <= max_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > max_part_ms )
            continue;
        auto engines = prefill_candidates_of(
            speed, targets, part_ms, part_memory( memory, parts ), now );
        if ( engines.size() < parts )
            continue;
        engines.resize( parts );
        if ( !has_free_slot( speed, *engines.front().target ) )
            continue;
        keep_if_better( best, std::move( engines ), part_ms, limits );
        if ( part_ms < preferred_part_ms )
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
