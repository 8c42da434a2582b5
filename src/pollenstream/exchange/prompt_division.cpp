#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// A prompt is urgent when less than this share of its latency objective is
/// left. It then no longer waits for engines without interactive requests.
constexpr auto urgent_slack_share = 0.45;
/// Prefill of short prompts that is expected to join the engine after the
/// placement: one prompt of the typical size. Without it pauses are predicted
/// too short; with twice as much, long prompts wait for other engines although
/// the free ones would do.
constexpr auto expected_join_prefill_ms = 20.0;
/// Requests that tolerate only shorter pauses are interactive: a person reads
/// their answers as they arrive.
constexpr auto interactive_gap_ms = 300.0;
/// Time in which the prefill of a prompt that takes all engines has to end, the
/// backlog of the engines included. The shortest latency objective of a route
/// for long prompts is 1.5 s: behind a backlog of one second such prompts are
/// still in time, so that one prompt of a million tokens does not make all
/// others late.
constexpr auto max_finish_ms = 1'000.0;
/// A prompt that takes a share of the engines may take longer: this time
/// divided by the share, up to `max_partial_finish_ms`.
constexpr auto finish_ms_per_engine_share = 400.0;
constexpr auto max_partial_finish_ms = 1'800.0;
/// While no other split prompt waits, a prompt may take this multiple of the
/// time that it takes in as many parts as possible; otherwise the longest
/// prompts would never be placed. While others wait it does not apply, as each
/// of the longest prompts would make several others late.
constexpr auto only_split_finish_factor = 1.5;
/// Share of the engines that a late prompt may take under that rule. The others
/// stay free for a burst of short prompts, which may begin at any moment.
constexpr auto late_prompt_engine_share = 0.5;
/// Time in which the prefill has to end for a prompt that is late itself, and
/// for one at its last chance: its caller leaves within `last_chance_patience`.
constexpr auto max_finish_when_late_ms = 600.0;
constexpr auto max_finish_at_last_chance_ms = 2'500.0;
constexpr auto last_chance_patience = core::duration( 3'000'000 );
/// Time that has to remain until the caller leaves when the prefill at the last
/// chance ends. First events come a pass or two later than predicted.
constexpr auto last_chance_margin_ms = 500.0;
/// Weight of other requests that a prompt may make late at its last chance, as
/// a share of its own. A late answer counts a quarter of its weight: the prompt
/// gains that quarter, and each request that it makes late loses the other
/// three quarters.
constexpr auto last_chance_weight_share = 0.33;
/// Backlog above which other decode targets are preferred: a third of the
/// shortest latency objective of a route for long prompts, 1.5 s.
constexpr auto preferred_decode_backlog_ms = 500.0;
/// Weight of other requests that an urgent prompt may make late, as a share of
/// its own: the three quarters of its weight that it would lose by being late,
/// times the six in ten urgent prompts that are in time when placed so.
constexpr auto urgent_weight_share = 0.45;

/// Total weight of the interactive requests at `t`.
auto interactive_weight_of( target_entry const& t ) -> double
{
    return weight_delayed_by( t, interactive_gap_ms );
}

/// Orders by the weight of delayed requests, then by slowdown, as the slowest
/// part delays the whole prompt, then by the weight of interactive requests;
/// then engines without requests come first, then those of the
/// highest rank, which short prompts fill last.
auto is_better_prefill_candidate( prefill_candidate const& a,
                                  prefill_candidate const& b ) -> bool
{
    auto const a_has_requests = a.target->load.requests > 0;
    auto const b_has_requests = b.target->load.requests > 0;
    if ( a.delayed_weight != b.delayed_weight )
        return a.delayed_weight < b.delayed_weight;
    if ( a.target->slowdown != b.target->slowdown )
        return a.target->slowdown < b.target->slowdown;
    if ( a.interactive_weight != b.interactive_weight )
        return a.interactive_weight < b.interactive_weight;
    if ( a_has_requests != b_has_requests )
        return b_has_requests;
    return a.target->rank > b.target->rank;
}

/// Time in ms in which a division into `parts` has to end.
auto max_finish_of( division_limits const& limits, std::size_t parts ) -> double
{
    auto const share = static_cast<double>( parts ) / limits.engine_count;
    auto const max_parts =
        limits.is_late
            ? std::min( limits.max_parts,
                        limits.engine_count * late_prompt_engine_share )
            : limits.max_parts;
    auto const longest = static_cast<double>( parts ) <= max_parts
                             ? limits.only_split_prefill_ms / max_parts *
                                   only_split_finish_factor
                             : 0.0;
    return std::max( { limits.all_engines_finish_ms, longest,
                       std::min( finish_ms_per_engine_share / share,
                                 max_partial_finish_ms ) } );
}

/// Time in ms in which a division over all engines has to end.
auto all_engines_finish_of( placement_demand const& demand ) -> double
{
    if ( demand.waited > demand.latency_objective )
        return max_finish_when_late_ms;
    return max_finish_ms;
}

}

auto prefill_candidate_of( engine_speed const& speed,
                           std::shared_ptr<target_entry> const& t,
                           double part_ms,
                           core::instant now ) -> prefill_candidate
{
    auto const backlog = t->backlog_ms( now );
    auto const pause = backlog + part_ms * t->slowdown + pass_ms( speed, *t ) +
                       expected_join_prefill_ms * t->slowdown;
    return { t, backlog, weight_delayed_by( *t, pause ),
             interactive_weight_of( *t ) };
}

auto prefill_candidates_of(
    engine_speed const& speed,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    double part_ms,
    std::int64_t memory,
    core::instant now ) -> std::vector<prefill_candidate>
{
    auto engines = std::vector<prefill_candidate>{};
    for ( auto const& t : targets )
        if ( t->load.own_parts_prefilling == 0 && t->backlog_ms( now ) <= 0 &&
             free_memory( speed, *t ) >= memory )
            engines.push_back( prefill_candidate_of( speed, t, part_ms, now ) );
    std::sort( engines.begin(), engines.end(), is_better_prefill_candidate );
    return engines;
}

auto is_better_decode_target( prefill_candidate const& a,
                              prefill_candidate const& b ) -> bool
{
    if ( a.delayed_weight != b.delayed_weight )
        return a.delayed_weight < b.delayed_weight;
    if ( a.target->slowdown != b.target->slowdown )
        return a.target->slowdown < b.target->slowdown;
    if ( a.interactive_weight != b.interactive_weight )
        return a.interactive_weight < b.interactive_weight;
    auto const a_is_behind = a.backlog_ms > preferred_decode_backlog_ms;
    auto const b_is_behind = b.backlog_ms > preferred_decode_backlog_ms;
    if ( a_is_behind != b_is_behind )
        return b_is_behind;
    return a.target->load.requests > b.target->load.requests;
}

auto division_limits_for( placement_demand const& demand, std::size_t engines )
    -> division_limits
{
    auto const all = static_cast<double>( engines );
    if ( demand.patience_left < last_chance_patience )
    {
        auto const finish =
            std::min( max_finish_at_last_chance_ms,
                      ms_of( demand.patience_left ) - last_chance_margin_ms );
        return { weight_of( demand.prompt_tokens ) * last_chance_weight_share,
                 finish,
                 finish,
                 0,
                 0,
                 0,
                 true };
    }
    auto const slack = ms_of( demand.latency_objective - demand.waited );
    auto const is_urgent =
        slack < ms_of( demand.latency_objective ) * urgent_slack_share;
    auto const weight =
        is_urgent ? weight_of( demand.prompt_tokens ) * urgent_weight_share
                  : 0.0;
    auto const is_late = demand.waited > demand.latency_objective;
    return { weight, slack,  all_engines_finish_of( demand ), all, 0,
             0,      is_late };
}

auto keep_if_better( std::optional<division>& best,
                     std::vector<prefill_candidate> engines,
                     double part_ms,
                     division_limits limits ) -> void
{
    auto delayed_weight = 0.0;
    auto finish = 0.0;
    for ( auto const& candidate : engines )
    {
        delayed_weight += candidate.delayed_weight;
        finish = std::max( finish, candidate.backlog_ms +
                                       part_ms * candidate.target->slowdown );
    }
    if ( finish > max_finish_of( limits, engines.size() ) ||
         delayed_weight > ( finish <= limits.on_time_finish_ms
                                ? limits.max_delayed_weight
                                : 0 ) )
        return;
    auto const more_parts =
        best ? static_cast<double>( engines.size() - best->engines.size() )
             : 0.0;
    if ( !best || finish + limits.part_cost_ms * more_parts < best->finish_ms )
        best = division{ std::move( engines ), part_ms, finish };
}

}
