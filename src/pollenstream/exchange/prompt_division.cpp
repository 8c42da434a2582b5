#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

namespace pollenstream::exchange
{

namespace
{

/// Part of the latency objective that has to be left when a long prompt stops
/// waiting for engines without short writers and takes what there is.
constexpr auto impatient_share = 0.45;
/// Reading of short prompts that joins a pass later: one of the usual ones.
/// Twice as much kept long prompts waiting for engines that would have done:
/// 0.667 of worth instead of 0.681 (45 engines, ten played days; none at all
/// gave 0.673).
constexpr auto unseen_reading_ms = 20.0;
/// Pauses below this belong to answers that a person watches being written.
constexpr auto tight_gap_ms = 300.0;
/// When a long prompt placed now has to be read, its engines' backlog
/// included, where it takes all engines. The shortest objective of a long route
/// of the first deployments is 1.5 s: with a backlog of a second these are
/// still in time, so that one prompt of a million tokens does not make all
/// others late.
constexpr auto latest_finish_ms = 1'000.0;
/// A prompt that leaves most engines to others may take longer: this many ms
/// for each time that its engines go into all of them, up to a limit.
constexpr auto finish_per_share_ms = 400.0;
constexpr auto most_finish_ms = 1'800.0;
/// But while no other one waits, a prompt may take this many times what it
/// takes when it is divided as far as can be, or the longest ones would never
/// be placed. In a wave they would make several others late each.
constexpr auto least_finish_parts = 1.5;
/// Share of the engines that it may take for that when it is late itself: a
/// wave of short prompts may begin at any moment, and finds the others free.
constexpr auto late_share = 0.5;
/// When a prompt has to be read that is late itself, and one whose caller is
/// about to leave: it is now or never.
constexpr auto latest_finish_when_late_ms = 600.0;
constexpr auto latest_finish_at_last_ms = 2'500.0;
constexpr auto last_chance = core::duration( 3'000'000 );
/// What has to be left of the caller's patience when a prompt is read at the
/// last chance: predictions are late by a pass or two.
constexpr auto last_chance_margin_ms = 500.0;
/// Part of its weight that a prompt may then make late. Late itself, it earns a
/// quarter, and the others lose three quarters.
constexpr auto last_chance_harm = 0.33;
/// Reading that waits at the writer of a long answer before another one is
/// taken: a third of the shortest objective of a long route, 1.5 s.
constexpr auto longest_queue_ms = 500.0;
/// Part of its weight that a prompt which is about to be late may make late of
/// others: the three quarters that it would lose, for the six of ten that are
/// then in time indeed.
constexpr auto impatient_harm = 0.45;

/// Weight of the requests at `t` that tolerate pauses below `tight_gap_ms`.
auto tightest_weight( target_entry const& t ) -> double
{
    return weight_delayed_by( t, tight_gap_ms );
}

/// Least harm first, then engines away from those who tolerate least, then
/// engines that write nothing, then the end of the order that short prompts
/// fill last.
auto goes_before( prefill_candidate const& a, prefill_candidate const& b )
    -> bool
{
    auto const a_writes = a.target->load.requests > 0;
    auto const b_writes = b.target->load.requests > 0;
    if ( a.harm != b.harm )
        return a.harm < b.harm;
    if ( a.tight != b.tight )
        return a.tight < b.tight;
    if ( a_writes != b_writes )
        return b_writes;
    return a.target->rank > b.target->rank;
}

/// When a prompt that takes `parts` engines has to be read.
auto latest_for( harm_limit const& limit, std::size_t parts ) -> double
{
    auto const share = static_cast<double>( parts ) / limit.engines;
    auto const max_parts =
        limit.is_late ? std::min( limit.max_parts, limit.engines * late_share )
                      : limit.max_parts;
    auto const longest = static_cast<double>( parts ) <= max_parts
                             ? limit.alone_ms / max_parts * least_finish_parts
                             : 0.0;
    return std::max(
        { limit.latest_ms, longest,
          std::min( finish_per_share_ms / share, most_finish_ms ) } );
}

auto latest_finish( placement_demand const& demand ) -> double
{
    if ( demand.waited > demand.latency_objective )
        return latest_finish_when_late_ms;
    return latest_finish_ms;
}

}

auto prefill_candidate_of( engine_speed const& speed,
                           std::shared_ptr<target_entry> const& t,
                           double part_ms,
                           core::instant now ) -> prefill_candidate
{
    auto const backlog = t->backlog_ms( now );
    auto const pause =
        backlog + part_ms + pass_ms( speed, *t ) + unseen_reading_ms;
    return { t, backlog, weight_delayed_by( *t, pause ),
             tightest_weight( *t ) };
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
    std::sort( engines.begin(), engines.end(), goes_before );
    return engines;
}

auto writes_better( prefill_candidate const& a, prefill_candidate const& b )
    -> bool
{
    if ( a.harm != b.harm )
        return a.harm < b.harm;
    if ( a.tight != b.tight )
        return a.tight < b.tight;
    auto const a_waits = a.backlog_ms > longest_queue_ms;
    auto const b_waits = b.backlog_ms > longest_queue_ms;
    if ( a_waits != b_waits )
        return b_waits;
    return a.target->load.requests > b.target->load.requests;
}

auto harm_allowed( placement_demand const& demand, std::size_t engines )
    -> harm_limit
{
    auto const all = static_cast<double>( engines );
    if ( demand.patience_left < last_chance )
    {
        auto const finish =
            std::min( latest_finish_at_last_ms,
                      ms_of( demand.patience_left ) - last_chance_margin_ms );
        return { weight_of( demand.prompt_tokens ) * last_chance_harm,
                 finish,
                 finish,
                 0,
                 0,
                 0,
                 true };
    }
    auto const slack = ms_of( demand.latency_objective - demand.waited );
    auto const is_impatient =
        slack < ms_of( demand.latency_objective ) * impatient_share;
    auto const weight =
        is_impatient ? weight_of( demand.prompt_tokens ) * impatient_harm : 0.0;
    auto const is_late = demand.waited > demand.latency_objective;
    return { weight, slack, latest_finish( demand ), all, 0, 0, is_late };
}

auto take_better( std::optional<division>& best,
                  std::vector<prefill_candidate> engines,
                  double part_ms,
                  harm_limit limit ) -> void
{
    auto harm = 0.0;
    auto backlog = 0.0;
    for ( auto const& r : engines )
    {
        harm += r.harm;
        backlog = std::max( backlog, r.backlog_ms );
    }
    auto const finish = backlog + part_ms;
    if ( finish > latest_for( limit, engines.size() ) ||
         harm > ( finish <= limit.until_ms ? limit.weight : 0 ) )
        return;
    auto const more_parts =
        best ? static_cast<double>( engines.size() - best->engines.size() )
             : 0.0;
    if ( !best || finish + limit.part_cost_ms * more_parts < best->finish_ms )
        best = division{ std::move( engines ), part_ms, finish };
}

}
