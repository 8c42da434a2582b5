#include <pollenstream/exchange/engine_model.hpp>
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
/// Longest time in ms that one part of a long prompt should take; shorter
/// parts gain little beside a pass of writing.
constexpr auto part_goal_ms = 180.0;
/// Prompts that make this many parts or more take turns: those below mostly go
/// to one engine.
constexpr auto wide_parts = 3.0;
/// The platform's engines take so many helpers at most beside the first.
constexpr auto most_helpers = std::size_t{ 16 };
/// Part of the latency objective that has to be left when a long prompt stops
/// waiting for engines without short writers and takes what there is.
constexpr auto impatient_share = 0.45;
/// Longest part of a long prompt, in parts of its own pause objective: who
/// joins the engine meanwhile as a rule comes from such a route.
constexpr auto part_of_own_gap = 0.55;
/// Longest part of a prompt that is larger than one engine, in parts of its
/// latency objective.
constexpr auto part_of_objective = 0.8;
/// Reading of short prompts that joins a pass unseen: two of the usual ones.
constexpr auto unseen_reading_ms = 40.0;
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
/// The same for a prompt that is late itself, and for one whose caller is
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
/// Longest reading that may wait at an engine that writes nothing. Long
/// prompts' objectives are seconds; nobody else is held up there.
constexpr auto deepest_backlog_ms = 1'500.0;
/// An engine reads the part that came last before all others. One that has read
/// for this long without a break gets no further part, or under a wave of
/// audits the earliest part there would never end.
constexpr auto longest_joining = core::duration( 250'000 );
/// A division into more parts has to end this much sooner: each part costs
/// its engine a pass.
constexpr auto least_gain_ms = 15.0;
/// The writer of a long answer is drawn among this many, if these harm equally
/// little: dossiers that arrive together else go to one engine.
constexpr auto equal_writers = std::size_t{ 3 };
/// Part of its weight that a prompt which is about to be late may make late of
/// others: the three quarters that it would lose, for the six of ten that are
/// then in time indeed.
constexpr auto impatient_harm = 0.45;
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

/// Time that `t` takes for a part of `read_ms`: where answers are written, a
/// pass of writing comes with it.
auto part_time_ms( engine_speed const& speed,
                   board_target const& t,
                   double read_ms ) -> double
{
    return read_ms + ( t.load.writers > 0 ? pass_ms( speed, t ) : 0.0 );
}

/// Weight of the requests at `t` that tolerate no pause of `pause_ms`.
auto harmed_by( board_target const& t, double pause_ms ) -> double
{
    auto harmed = 0.0;
    for ( auto const& [gap, group] : t.load.by_gap )
        if ( static_cast<double>( gap ) < pause_ms )
            harmed += group.weight;
    return harmed;
}

/// Weight of the requests at `t` that tolerate pauses below `tight_gap_ms`.
auto tightest_weight( board_target const& t ) -> double
{
    return harmed_by( t, tight_gap_ms );
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

/// Least harm first, then engines away from those who tolerate least, then
/// engines that write nothing, then least reading, then the end of the order
/// that short prompts fill last.
auto goes_before( long_reader const& a, long_reader const& b ) -> bool
{
    auto const a_writes = a.target->load.requests > 0;
    auto const b_writes = b.target->load.requests > 0;
    if ( a.harm != b.harm )
        return a.harm < b.harm;
    if ( a.tight != b.tight )
        return a.tight < b.tight;
    if ( a_writes != b_writes )
        return b_writes;
    if ( a.backlog_ms != b.backlog_ms )
        return a.backlog_ms < b.backlog_ms;
    return a.target->rank > b.target->rank;
}

/// `t` with what a part of `part_ms` would do to the requests there.
auto reader_of( engine_speed const& speed,
                std::shared_ptr<board_target> const& t,
                double part_ms,
                core::instant now ) -> long_reader
{
    auto const backlog = t->backlog_ms( now );
    auto const pause =
        backlog + part_ms + pass_ms( speed, *t ) + unseen_reading_ms;
    return { t, backlog, harmed_by( *t, pause ), tightest_weight( *t ) };
}

/// The engines that may read a part for another, best first; each has
/// `memory` free. An engine reads for others before it reads for itself, and
/// what came last first: one that has prompts of its own to read, or has read
/// for others for a while, is left alone, or these would starve.
auto readers_of( engine_speed const& speed,
                 std::vector<std::shared_ptr<board_target>> const& targets,
                 double part_ms,
                 std::int64_t memory,
                 core::instant now ) -> std::vector<long_reader>
{
    auto readers = std::vector<long_reader>{};
    for ( auto const& t : targets )
        if ( t->load.own_parts_reading == 0 &&
             t->has_read_for( now ) <= longest_joining &&
             t->backlog_ms( now ) <= deepest_backlog_ms &&
             free_memory( speed, *t ) >= memory )
            readers.push_back( reader_of( speed, t, part_ms, now ) );
    std::sort( readers.begin(), readers.end(), goes_before );
    return readers;
}

/// Least harm, then away from those who tolerate least, then where most is
/// written already, so that other engines stay free to read.
auto writes_better( long_reader const& a, long_reader const& b ) -> bool
{
    if ( a.harm != b.harm )
        return a.harm < b.harm;
    if ( a.tight != b.tight )
        return a.tight < b.tight;
    return a.target->load.requests > b.target->load.requests;
}

/// A way to divide a long prompt among engines; the first writes.
struct division
{
    std::vector<long_reader> readers;
    double part_ms{ 0 };
    double finish_ms{ 0 }; ///< when the last part is read
};

/// What a placement may cost others.
struct harm_limit
{
    double weight{ 0 };    ///< that may be made late to have this one in time
    double until_ms{ 0 };  ///< when it has to be read to be in time
    double latest_ms{ 0 }; ///< when it has to be read if it takes all engines
    double engines{ 0 };   ///< that could take it
    /// Reading time of one part where it is divided as far as can be; zero
    /// while others wait.
    double shortest_part_ms{ 0 };
};

/// When a prompt that takes `parts` engines has to be read.
auto latest_for( harm_limit const& limit, std::size_t parts ) -> double
{
    auto const for_share =
        finish_per_share_ms * limit.engines / static_cast<double>( parts );
    return std::max( { limit.latest_ms, std::min( for_share, most_finish_ms ),
                       limit.shortest_part_ms * least_finish_parts } );
}

auto latest_finish( placement_demand const& demand ) -> double
{
    if ( demand.patience_left < last_chance )
        return latest_finish_at_last_ms;
    if ( demand.waited > demand.latency_objective )
        return latest_finish_when_late_ms;
    return latest_finish_ms;
}

/// Nothing while the request can wait, and nothing once it is late itself, but
/// for the last chance: an answer that never comes is worse than a few late
/// ones.
auto harm_allowed( placement_demand const& demand, std::size_t engines )
    -> harm_limit
{
    auto const all = static_cast<double>( engines );
    if ( demand.patience_left < last_chance )
    {
        auto const finish =
            std::min( latest_finish_at_last_ms,
                      ms_of( demand.patience_left ) - last_chance_margin_ms );
        return { weight_of( demand.prompt_tokens ) * last_chance_harm, finish,
                 finish, 0, 0 };
    }
    auto const slack = ms_of( demand.latency_objective - demand.waited );
    auto const is_impatient =
        slack < ms_of( demand.latency_objective ) * impatient_share;
    auto const weight =
        is_impatient ? weight_of( demand.prompt_tokens ) * impatient_harm : 0.0;
    return { weight, slack, latest_finish( demand ), all, 0 };
}

/// Puts the division of a prompt among `readers` into `best` if it harms no
/// more than `limit` and ends sooner by more than its parts cost.
auto take_better( std::optional<division>& best,
                  std::vector<long_reader> readers,
                  double part_ms,
                  harm_limit limit ) -> void
{
    auto harm = 0.0;
    auto backlog = 0.0;
    for ( auto const& r : readers )
    {
        harm += r.harm;
        backlog = std::max( backlog, r.backlog_ms );
    }
    auto const finish = backlog + part_ms;
    if ( finish > latest_for( limit, readers.size() ) ||
         harm > ( finish <= limit.until_ms ? limit.weight : 0 ) )
        return;
    auto const more_parts =
        best ? static_cast<double>( readers.size() - best->readers.size() )
             : 0.0;
    if ( !best || finish + least_gain_ms * more_parts < best->finish_ms )
        best = division{ std::move( readers ), part_ms, finish };
}

auto make_choice( engine_speed const& speed, division const& divided )
    -> placement_choice
{
    auto choice = placement_choice{};
    for ( auto const& r : divided.readers )
    {
        choice.targets.push_back( r.target );
        choice.parts.push_back(
            { r.target->facts.id,
              part_time_ms( speed, *r.target, divided.part_ms ), 0 } );
    }
    choice.first_event_ms =
        divided.finish_ms + pass_ms( speed, *choice.targets.front() );
    return choice;
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

auto nothing( no_choice reason ) -> placement_result
{
    return { std::nullopt, reason };
}

}

auto is_long_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool
{
    return read_ms( speed, demand.prompt_tokens ) >
           ms_of( demand.tightest_gap ) * long_part_of_gap;
}

auto is_wide_prompt( engine_speed const& speed, placement_demand const& demand )
    -> bool
{
    return read_ms( speed, demand.prompt_tokens ) > part_goal_ms * wide_parts;
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
    choice.parts.push_back( { best->facts.id, 0, 0 } );
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
    choice.parts.push_back( { best.target->facts.id, own_read, memory } );
    choice.first_event_ms = best.first_ms;
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
    auto const most_parts = std::min( targets.size(), most_helpers + 1 );
    auto limit = harm_allowed( demand, targets.size() );
    if ( demand.is_alone )
        limit.shortest_part_ms = total / static_cast<double>( most_parts );
    // The longer a request waits, the fewer engines it makes do with.
    auto const most_part = ms_of( demand.gap_objective ) * part_of_own_gap *
                           ( 1 + core::seconds_of( demand.waited ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 1 }; parts <= most_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > most_part )
            continue;
        auto const writer =
            choose_writer( speed, targets, memory, part_ms, demand.draw, now );
        if ( !writer )
            break;
        auto readers = readers_of( speed, targets, part_ms, 0, now );
        std::erase_if( readers,
                       [&]( auto const& r )
                       {
                           return r.target == writer->target;
                       } );
        if ( readers.size() + 1 < parts )
            break;
        readers.resize( parts - 1 );
        readers.insert( readers.begin(), *writer );
        take_better( best, std::move( readers ), part_ms, limit );
        if ( part_ms < part_goal_ms )
            break;
    }
    if ( !best )
        return nothing( no_choice::full );
    auto choice = make_choice( speed, *best );
    choice.parts.front().memory_tokens = memory;
    return { std::move( choice ), no_choice::full };
}

/// The engine that holds a long prompt's memory and writes its answer: one
/// that writes such answers already, so that others stay free to read.
auto placement::choose_writer( engine_speed const& speed,
                               candidates const& targets,
                               std::int64_t memory,
                               double part_ms,
                               double draw,
                               core::instant now ) const
    -> std::optional<long_reader>
{
    auto fitting = std::vector<long_reader>{};
    for ( auto const& t : targets )
    {
        auto const backlog = t->backlog_ms( now );
        if ( !has_slot( speed, *t ) || free_memory( speed, *t ) < memory ||
             backlog > deepest_backlog_ms )
            continue;
        fitting.push_back( reader_of( speed, t, part_ms, now ) );
    }
    if ( fitting.empty() )
        return std::nullopt;
    std::stable_sort( fitting.begin(), fitting.end(), writes_better );
    auto equal = std::size_t{ 1 };
    while ( equal < std::min( fitting.size(), equal_writers ) &&
            fitting[equal].harm == fitting[0].harm &&
            fitting[equal].tight == fitting[0].tight )
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
    auto const total = read_ms( speed, demand.prompt_tokens );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto const most = static_cast<std::int64_t>(
        static_cast<double>( speed.memory_tokens ) * usable_memory );
    auto const service_targets = board_.of_service( demand.service ).size();
    if ( memory > most * static_cast<std::int64_t>(
                             std::min( service_targets, most_helpers ) ) )
        return nothing( no_choice::too_large );
    auto const most_parts = std::min( targets.size(), most_helpers );
    auto limit = harm_allowed( demand, targets.size() );
    if ( demand.is_alone )
        limit.shortest_part_ms = total / static_cast<double>( most_parts );
    auto const most_part =
        std::max( ms_of( demand.latency_objective ) * part_of_objective,
                  total / static_cast<double>( most_parts ) );
    auto best = std::optional<division>{};
    for ( auto parts = std::size_t{ 2 }; parts <= most_parts; ++parts )
    {
        auto const part_ms = total / static_cast<double>( parts );
        if ( part_ms > most_part )
            continue;
        auto const each = memory / static_cast<std::int64_t>( parts ) + 1;
        auto readers = readers_of( speed, targets, part_ms, each, now );
        if ( readers.size() < parts )
            continue;
        readers.resize( parts );
        if ( !has_slot( speed, *readers.front().target ) )
            continue;
        take_better( best, std::move( readers ), part_ms, limit );
        if ( part_ms < part_goal_ms )
            break;
    }
    if ( !best )
        return nothing( no_choice::full );
    auto choice = make_choice( speed, *best );
    choice.needs_reservation = true;
    for ( auto& part : choice.parts )
        part.memory_tokens =
            memory / static_cast<std::int64_t>( choice.parts.size() ) + 1;
    return { std::move( choice ), no_choice::full };
}

}
