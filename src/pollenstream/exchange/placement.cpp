#include <pollenstream/exchange/engine_model.hpp>
#include <pollenstream/exchange/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstream::exchange
{

namespace
{

/// A prompt is long where reading it takes more than this part of the pause
/// that its own route tolerates: beside writers of the same route it would
/// then spoil every one of their answers.
constexpr auto long_part_of_gap = 0.6;
/// Part of the tolerated pause that the reading on one engine may fill, its
/// own writing pass and the spread of arrivals taken into account.
constexpr auto reading_part_of_gap = 0.55;
/// Share of an engine's slots up to which short prompts are packed before the
/// next engine is opened; packing leaves whole engines for long prompts.
constexpr auto packed_share = 0.8;
/// Longest time in ms that one part of a long prompt should take; shorter
/// parts gain little beside a pass of writing.
constexpr auto part_goal_ms = 250.0;
/// The platform's engines take so many helpers at most beside the first.
constexpr auto most_helpers = std::size_t{ 16 };
/// Part of the latency objective that has to be left when a long prompt stops
/// waiting for engines without short writers and takes what there is.
constexpr auto impatient_share = 0.45;
/// Part of an engine's memory that is handed out: knowledge of others'
/// dispatches is some ms old, and an overfull engine reads prompts twice.
constexpr auto usable_memory = 0.97;
/// A plain target of another place is chosen only where it has this much less
/// load, in parts of its slots.
constexpr auto far_place_load = 0.34;

auto free_memory( engine_speed const& speed, board_target const& t )
    -> std::int64_t
{
    auto const usable = static_cast<std::int64_t>(
        static_cast<double>( speed.memory_tokens ) * usable_memory );
    return usable - t.load.memory_tokens;
}

auto has_slot( engine_speed const& speed, board_target const& t ) -> bool
{
    return t.load.requests < speed.slots;
}

auto pass_ms( engine_speed const& speed, board_target const& t ) -> double
{
    return write_pass_ms( speed, t.load.writers, t.load.context_tokens );
}

/// Requests at `t` that tolerate no pause of `pause_ms`.
auto harmed_by( board_target const& t, double pause_ms ) -> std::int64_t
{
    auto harmed = std::int64_t{ 0 };
    for ( auto const& [gap, count] : t.load.by_gap )
        if ( static_cast<double>( gap ) < pause_ms )
            harmed += count;
    return harmed;
}

auto was_tried( placement_demand const& demand, core::target_id const& id )
    -> bool
{
    return std::find( demand.tried.begin(), demand.tried.end(), id ) !=
           demand.tried.end();
}

auto ms_of( core::duration d ) -> double
{
    return core::seconds_of( d ) * 1'000;
}

/// An engine that a long prompt's part may go to.
struct long_candidate
{
    std::shared_ptr<board_target> target;
    double backlog_ms{ 0 };
    std::int64_t harmed{ 0 };
};

/// Fewest harmed writers first, then least reading, then the end of the order
/// that short prompts fill last.
auto goes_before( long_candidate const& a, long_candidate const& b ) -> bool
{
    if ( a.harmed != b.harmed )
        return a.harmed < b.harmed;
    if ( a.backlog_ms != b.backlog_ms )
        return a.backlog_ms < b.backlog_ms;
    return a.target->rank > b.target->rank;
}

/// Puts the engine in front that holds the prompt's memory and writes the
/// answer: the one with most memory free.
auto put_writer_first( engine_speed const& speed,
                       std::vector<long_candidate>& chosen ) -> void
{
    auto const writer = std::max_element(
        chosen.begin(), chosen.end(), [&]( auto const& a, auto const& b ) {
            auto const free_a = has_slot( speed, *a.target )
                                    ? free_memory( speed, *a.target )
                                    : -1;
            auto const free_b = has_slot( speed, *b.target )
                                    ? free_memory( speed, *b.target )
                                    : -1;
            return free_a < free_b;
        } );
    std::iter_swap( chosen.begin(), writer );
}

auto worst_backlog( std::vector<long_candidate> const& chosen ) -> double
{
    auto worst = 0.0;
    for ( auto const& c : chosen )
        worst = std::max( worst, c.backlog_ms );
    return worst;
}

auto make_choice( engine_speed const& speed,
                  std::vector<long_candidate> const& chosen,
                  double total_read_ms,
                  std::int64_t memory ) -> placement_choice
{
    auto choice = placement_choice{};
    auto const part = total_read_ms / static_cast<double>( chosen.size() );
    for ( auto const& c : chosen )
    {
        choice.targets.push_back( c.target );
        choice.read_ms.push_back( part );
    }
    choice.memory_tokens = memory;
    choice.first_event_ms = worst_backlog( chosen ) + part +
                            pass_ms( speed, *chosen.front().target );
    return choice;
}

auto nothing( no_choice reason ) -> placement_result
{
    return { std::nullopt, reason };
}

}

auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool
{
    return read_ms( speed, demand.prompt_tokens ) >
           ms_of( demand.gap_objective ) * long_part_of_gap;
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
    auto const most = static_cast<std::int64_t>(
        static_cast<double>( speed.memory_tokens ) * usable_memory );
    if ( memory > most )
        return choose_reserved( demand, speed, targets, now );
    if ( is_long_prompt( speed, demand ) )
        return choose_long( demand, speed, targets, now );
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
    choice.read_ms.push_back( 0 );
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
    auto best = std::shared_ptr<board_target>{};
    auto best_ms = std::numeric_limits<double>::infinity();
    for ( auto const& t : targets )
    {
        if ( !has_slot( speed, *t ) || free_memory( speed, *t ) < memory )
            continue;
        auto const reading = t->backlog_ms( now ) + own_read;
        auto const first = reading + pass_ms( speed, *t );
        if ( t->load.requests < packed && first < gap * reading_part_of_gap )
        {
            best = t;
            best_ms = first;
            break;
        }
        if ( first < best_ms )
        {
            best = t;
            best_ms = first;
        }
    }
    if ( !best )
        return nothing( no_choice::full );
    auto choice = placement_choice{};
    choice.targets.push_back( best );
    choice.read_ms.push_back( own_read );
    choice.memory_tokens = memory;
    choice.first_event_ms = best_ms;
    return { choice, no_choice::full };
}

auto placement::choose_long( placement_demand const& demand,
                             engine_speed const& speed,
                             candidates const& targets,
                             core::instant now ) const -> placement_result
{
    auto const total = read_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const gap = ms_of( demand.gap_objective );
    auto const most_backlog = gap * reading_part_of_gap;
    auto const wanted = std::clamp<std::size_t>(
        static_cast<std::size_t>( std::ceil( total / part_goal_ms ) ), 1,
        most_helpers + 1 );
    auto const part = total / static_cast<double>( wanted );
    auto free_engines = std::vector<long_candidate>{};
    for ( auto const& t : targets )
    {
        auto const backlog = t->backlog_ms( now );
        if ( backlog > most_backlog )
            continue;
        auto const pause = backlog + part + pass_ms( speed, *t );
        free_engines.push_back( { t, backlog, harmed_by( *t, pause ) } );
    }
    std::sort( free_engines.begin(), free_engines.end(), goes_before );
    auto harmless = std::size_t{ 0 };
    while ( harmless < free_engines.size() &&
            free_engines[harmless].harmed == 0 )
        ++harmless;
    auto const fewest = std::clamp<std::size_t>(
        static_cast<std::size_t>(
            std::ceil( total / ( gap * reading_part_of_gap * 1.4 ) ) ),
        1, most_helpers + 1 );
    auto const slack = ms_of( demand.latency_objective - demand.waited );
    auto const is_impatient =
        slack < ms_of( demand.latency_objective ) * impatient_share;
    auto count = std::min( wanted, harmless );
    if ( count < fewest )
    {
        if ( !is_impatient || free_engines.size() < fewest )
            return nothing( no_choice::full );
        count = fewest;
    }
    free_engines.resize( count );
    put_writer_first( speed, free_engines );
    auto const& writer = *free_engines.front().target;
    if ( !has_slot( speed, writer ) || free_memory( speed, writer ) < memory )
        return nothing( no_choice::full );
    return { make_choice( speed, free_engines, total, memory ),
             no_choice::full };
}

auto placement::choose_reserved( placement_demand const& demand,
                                 engine_speed const& speed,
                                 candidates const& targets,
                                 core::instant now ) const -> placement_result
{
    auto const total = read_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const most = static_cast<std::int64_t>(
        static_cast<double>( speed.memory_tokens ) * usable_memory );
    auto const service_targets = board_.of_service( demand.service ).size();
    if ( memory > most * static_cast<std::int64_t>( std::min(
                             service_targets, most_helpers + 1 ) ) )
        return nothing( no_choice::too_large );
    auto chosen = std::vector<long_candidate>{};
    for ( auto const& t : targets )
    {
        auto const backlog = t->backlog_ms( now );
        if ( has_slot( speed, *t ) && free_memory( speed, *t ) > 0 )
            chosen.push_back(
                { t, backlog, harmed_by( *t, backlog + part_goal_ms ) } );
    }
    std::sort( chosen.begin(), chosen.end(), goes_before );
    auto const wanted = std::clamp<std::size_t>(
        static_cast<std::size_t>( std::ceil( total / part_goal_ms ) ), 2,
        most_helpers );
    chosen.resize( std::min( chosen.size(), wanted ) );
    if ( chosen.empty() )
        return nothing( no_choice::full );
    put_writer_first( speed, chosen );
    // Each engine holds what it reads where it has room for that.
    auto const parts = static_cast<std::int64_t>( chosen.size() );
    auto const each = memory / parts + 1;
    for ( auto const& c : chosen )
        if ( free_memory( speed, *c.target ) < each )
            return nothing( no_choice::full );
    auto choice = make_choice( speed, chosen, total, each );
    choice.reserved_tokens.assign( chosen.size(), each );
    return { choice, no_choice::full };
}

}
