#include <pollenstream/exchange/engine_room.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/prompt_division.hpp>

#include <algorithm>

// Engines that are busy now, for a wide prompt that finds no room. In a wave of
// long prompts no ten engines are ever free at the same moment, so that without
// a booking the largest prompts wait in vain: before, 62 in 100 prompts of 260
// to 350 thousand tokens were refused after twelve seconds, and nearly all
// larger ones (14 engines, 20 played days, requests counted in logs).

namespace pollenstream::exchange
{

namespace
{

/// Longest reading at an engine that a booking waits for. Objectives of long
/// prompts are 1.5 s and more: a later start could not be in time.
constexpr auto deepest_booking_ms = 2'000.0;
/// What has to be left of the objective when a booked prompt is read:
/// predictions are late by a pass or two of 45 ms.
constexpr auto in_time_margin_ms = 150.0;
/// Part of its caller's patience in which a late one has to be read: others
/// join while it reads for seconds.
constexpr auto late_part_of_patience = 0.8;
/// Part of its weight that a booked prompt may make late of others: one or two
/// short answers that are left over on an engine, not more.
constexpr auto in_time_harm = 0.1;
constexpr auto late_harm = 0.05;
/// Share of the engines that it may take; the others take what comes while it
/// is read. With all of them and more harm allowed, 88 in 100 short prompts
/// were in time instead of 92 (14 engines, 20 played days).
constexpr auto in_time_share = 0.7;
/// The same for one that is late itself. It takes the fewest that will do.
constexpr auto late_share = 0.3;
/// Share of the engines' time in reading over `load_window_ms`, the prompt
/// included, up to which it may book. In a wave above that, an engine's second
/// brings more with prompts of usual size: their value grows with the tokens,
/// their reading with the square.
constexpr auto most_reading_share = 0.8;
constexpr auto load_window_ms = 2'000.0;
/// A division into more parts has to end this much sooner: each further engine
/// idles until the last one is free.
constexpr auto part_cost_ms = 30.0;

auto share_of( std::size_t engines, double share ) -> std::size_t
{
    return std::min(
        most_helpers,
        static_cast<std::size_t>( static_cast<double>( engines ) * share ) );
}

/// Milliseconds in which the prompt is read by as many as it may take of
/// `engines` engines.
auto shortest_ms( placement_demand const& demand,
                  engine_speed const& speed,
                  std::size_t engines ) -> double
{
    auto const parts =
        std::max( std::size_t{ 1 }, share_of( engines, in_time_share ) );
    return read_ms( speed, demand.prompt_tokens ) /
           static_cast<double>( parts );
}

auto is_late( placement_demand const& demand,
              engine_speed const& speed,
              std::size_t engines ) -> bool
{
    return ms_of( demand.waited ) + shortest_ms( demand, speed, engines ) >
           ms_of( demand.latency_objective );
}

/// What a booking has to keep to.
struct booking_limit
{
    double finish_ms{ 0 }; ///< when it has to be read
    double harm{ 0 };
    std::size_t parts{ 0 };
};

auto limit_of( placement_demand const& demand,
               engine_speed const& speed,
               std::size_t engines ) -> booking_limit
{
    auto const weight = weight_of( demand.prompt_tokens );
    if ( is_late( demand, speed, engines ) )
        return { ms_of( demand.patience_left ) * late_part_of_patience,
                 weight * late_harm, share_of( engines, late_share ) };
    return { ms_of( demand.latency_objective - demand.waited ) -
                 in_time_margin_ms,
             weight * in_time_harm, share_of( engines, in_time_share ) };
}

/// Least harm, then away from those who tolerate least, then who is free first.
auto is_booked_before( long_reader const& a, long_reader const& b ) -> bool
{
    if ( a.harm != b.harm )
        return a.harm < b.harm;
    if ( a.tight != b.tight )
        return a.tight < b.tight;
    return a.backlog_ms < b.backlog_ms;
}

/// A division whose parts all start when the last of its engines is free.
struct booked_division
{
    division divided;
    double start_ms{ 0 };
    double harm{ 0 };
    bool is_reserved{ false }; ///< no engine holds the whole prompt
};

/// The engines for `parts` parts, the writer first; none where they lack
/// memory.
auto divide( placement_demand const& demand,
             engine_speed const& speed,
             std::vector<std::shared_ptr<board_target>> const& targets,
             std::size_t parts,
             core::instant now ) -> std::optional<booked_division>
{
    auto const part_ms =
        read_ms( speed, demand.prompt_tokens ) / static_cast<double>( parts );
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto readers = std::vector<long_reader>{};
    for ( auto const& t : targets )
        if ( t->backlog_ms( now ) <= deepest_booking_ms )
            readers.push_back( reader_of( speed, t, part_ms, now ) );
    std::sort( readers.begin(), readers.end(), is_booked_before );
    auto const writer =
        std::find_if( readers.begin(), readers.end(),
                      [&]( auto const& r )
                      {
                          return has_slot( speed, *r.target ) &&
                                 free_memory( speed, *r.target ) >= memory;
                      } );
    auto found = booked_division{};
    found.is_reserved = writer == readers.end();
    if ( found.is_reserved )
        std::erase_if( readers,
                       [&]( auto const& r )
                       {
                           return free_memory( speed, *r.target ) <
                                  part_memory( memory, parts );
                       } );
    else
        std::rotate( readers.begin(), writer, writer + 1 );
    auto const least_parts = std::size_t{ found.is_reserved ? 2U : 1U };
    if ( readers.size() < parts || parts < least_parts ||
         !has_slot( speed, *readers.front().target ) )
        return std::nullopt;
    readers.resize( parts );
    for ( auto const& r : readers )
    {
        found.harm += r.harm;
        found.start_ms = std::max( found.start_ms, r.backlog_ms );
    }
    found.divided = { std::move( readers ), part_ms, found.start_ms + part_ms };
    return found;
}

auto choice_of( placement_demand const& demand,
                engine_speed const& speed,
                booked_division const& booked ) -> placement_choice
{
    auto const& divided = booked.divided;
    auto const memory =
        memory_need( demand.prompt_tokens, demand.output_tokens );
    auto choice = placement_choice{};
    choice.starts_in_ms = booked.start_ms;
    choice.needs_reservation = booked.is_reserved;
    for ( auto const& r : divided.readers )
    {
        // The time until all can start is taken up too.
        auto const taken_ms = booked.start_ms - r.backlog_ms +
                              part_time_ms( speed, *r.target, divided.part_ms );
        choice.targets.push_back( r.target );
        choice.parts.push_back(
            { r.target->facts.id, taken_ms,
              booked.is_reserved ? part_memory( memory, divided.readers.size() )
                                 : 0,
              r.target->facts.lifetime } );
    }
    if ( !booked.is_reserved )
        choice.parts.front().memory_tokens = memory;
    choice.first_event_ms =
        divided.finish_ms + pass_ms( speed, *choice.targets.front() );
    return choice;
}

}

auto placement::shortest_reading( placement_demand const& demand,
                                  service_settings const& service ) const
    -> core::duration
{
    auto const engines = board_.of_service( demand.service ).size();
    return core::duration_of( shortest_ms( demand, *service.engine, engines ) /
                              1'000 );
}

auto placement::is_too_late( placement_demand const& demand,
                             service_settings const& service ) const -> bool
{
    return is_late( demand, *service.engine,
                    board_.of_service( demand.service ).size() );
}

auto placement::may_book( placement_demand const& demand,
                          engine_speed const& speed,
                          std::size_t engines,
                          core::instant now ) const -> bool
{
    if ( !demand.may_book )
        return false;
    // Late, it leaves the engines to those that can be in time.
    if ( is_late( demand, speed, engines ) )
        return !demand.others_in_time;
    auto const own_share = read_ms( speed, demand.prompt_tokens ) /
                           ( load_window_ms * static_cast<double>( engines ) );
    return demand.is_alone &&
           board_.reading_share( demand.service, now ) + own_share <=
               most_reading_share;
}

auto placement::book( placement_demand const& demand,
                      engine_speed const& speed,
                      candidates const& targets,
                      core::instant now ) const -> placement_result
{
    if ( !may_book( demand, speed, targets.size(), now ) )
        return nothing( no_choice::full );
    auto const late = is_late( demand, speed, targets.size() );
    auto const limit = limit_of( demand, speed, targets.size() );
    auto best = std::optional<booked_division>{};
    for ( auto parts = std::size_t{ 1 }; parts <= limit.parts; ++parts )
    {
        auto found = divide( demand, speed, targets, parts, now );
        if ( !found || found->divided.finish_ms > limit.finish_ms ||
             found->harm > limit.harm )
            continue;
        auto const cost =
            best ? part_cost_ms * static_cast<double>(
                                      parts - best->divided.readers.size() )
                 : 0.0;
        if ( !best ||
             found->divided.finish_ms + cost < best->divided.finish_ms )
            best = std::move( found );
        if ( late )
            break;
    }
    if ( !best )
        return nothing( no_choice::full );
    return { choice_of( demand, speed, *best ), no_choice::full };
}

}
