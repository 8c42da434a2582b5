#include <pollenstream/exchange/engine_capacity.hpp>
#include <pollenstream/exchange/load_table.hpp>

#include <algorithm>
#include <utility>

// How the load table learns the speeds of engines from the first events of the
// open work.

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Work that is older at its first report was reported late. Instances report
/// new work within 8 ms; the datagram with older work was lost, or sent before
/// this instance became a coordinator.
constexpr auto max_report_age = core::duration( 20ms );
/// Time from an engine's first event until the coordinators know of it:
/// instances report within 8 ms, and the rest is the way of the messages.
constexpr auto first_event_report_time = core::duration( 10ms );

/// Time in which all instances tell a new coordinator of their open work: they
/// do so when they notice it, and again in their regular messages each 500 ms.
constexpr auto time_to_hear_of_all_work = core::duration( 1s );

/// Adds the prefills of prompts that joined the engine before its first event
/// at `at`. Those that joined within the expected time share the pass of the
/// event, which takes longer by them; the others came too late for it.
auto with_joined_prefills( scheduling::expected_first_event expected,
                           double joined_ms,
                           core::instant at )
    -> scheduling::expected_first_event
{
    auto const expected_seconds = core::seconds_of( expected.time );
    auto const observed_seconds = core::seconds_of( at - expected.sent_at );
    auto const share = observed_seconds > expected_seconds
                           ? expected_seconds / observed_seconds
                           : 1.0;
    expected.time += core::duration_of_ms( joined_ms * share );
    return expected;
}

}

auto load_table::set_engine_models(
    std::unordered_map<core::service_id, engine_speed> models,
    core::instant now ) -> void
{
    auto const former = std::exchange( engine_models_, std::move( models ) );
    for ( auto const& [id, entry] : by_id_ )
    {
        auto const old = former.find( entry->properties.service );
        auto const* const model = engine_model_of( *entry );
        if ( model != nullptr && old != former.end() && *model == old->second )
            continue;
        entry->speed = {};
        entry->samples_count_from = now;
        set_slowdown( entry, 1, slowdown_reason::model_changed, now );
    }
}

auto load_table::set_learns_speeds( bool learns, core::instant now ) -> void
{
    if ( !learns )
        learns_speeds_since_.reset();
    else if ( !learns_speeds_since_ )
        learns_speeds_since_ = now + time_to_hear_of_all_work;
}

auto load_table::engine_model_of( target_entry const& target ) const
    -> engine_speed const*
{
    auto const found = engine_models_.find( target.properties.service );
    return found == engine_models_.end() ? nullptr : &found->second;
}

auto load_table::set_slowdown( std::shared_ptr<target_entry> const& entry,
                               double slowdown,
                               slowdown_reason reason,
                               core::instant now ) -> void
{
    if ( entry->slowdown == slowdown )
        return;
    auto const former = std::exchange( entry->slowdown, slowdown );
    auto& until = entry->load.prefill_until;
    if ( until > now )
        until = now + core::duration_of( core::seconds_of( until - now ) *
                                         slowdown / former );
    if ( find( entry->properties.id ) != entry )
        return;
    if ( slowdown > 1 )
        slowed_.insert( entry->properties.id );
    else
        slowed_.erase( entry->properties.id );
    auto const is_change = ( former > 1 ) != ( slowdown > 1 );
    if ( is_change && on_slowdown_changed )
        on_slowdown_changed( { entry->ref(), slowdown, reason } );
}

auto load_table::expire_slowdowns( core::instant now ) -> void
{
    auto const slowed = slowed_;
    for ( auto const& id : slowed )
        if ( auto const entry = find( id ) )
            set_slowdown( entry, entry->speed.slowdown( now ),
                          slowdown_reason::no_samples, now );
}

/// Excludes the work whose first event comes later because of `known`, which
/// its expectation doesn't contain: work that was sent before a late report of
/// `known` or is prefilled behind it, and prompts that the engine prefills
/// after a part for another engine.
auto load_table::exclude_samples( known_work const& known, core::instant now )
    -> void
{
    auto const was_reported_late = now - known.sent_at > max_report_age;
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
    {
        if ( !known.targets[i] )
            continue;
        auto& target = *known.targets[i];
        auto& from = target.samples_count_from;
        // An engine prefills parts for other engines before its own prompts.
        auto const goes_before_prompts = i > 0 && known.work.prefilling &&
                                         target.load.own_parts_prefilling > 0;
        if ( was_reported_late )
            from = std::max( { from, now, target.load.prefill_until } );
        else if ( goes_before_prompts )
            from = std::max( from, now );
    }
}

/// Expects the first event when the engines have finished all their prefills
/// and the first one has made the passes that an event needs, by the factors
/// with which short prompts are predicted. A split prompt is predicted without
/// them: it may come later than predicted and still be in time here.
auto load_table::expect_first_event( known_work& known, core::instant now )
    -> void
{
    exclude_samples( known, now );
    auto const learns = learns_speeds_since_ &&
                        known.sent_at >= *learns_speeds_since_ &&
                        shares_.knows_all_work;
    if ( !known.work.prefilling || !learns )
        return;
    auto expected = scheduling::expected_first_event{ known.sent_at, {}, {} };
    auto prefills_ms = 0.0;
    for ( auto i = std::size_t{ 0 }; i < known.targets.size(); ++i )
    {
        auto const& target = known.targets[i];
        if ( !target || !engine_model_of( *target ) )
            return;
        auto const own_ms = known.work.parts[i].prefill_ms * target->slowdown;
        auto const ahead_ms =
            std::max( 0.0, target->backlog_ms( now ) - own_ms );
        prefills_ms = std::max( prefills_ms,
                                ahead_ms * first_event_per_backlog + own_ms );
        expected.slowdowns.push_back( target->slowdown );
    }
    if ( known.targets.empty() )
        return;
    auto const& first = *known.targets.front();
    auto const passes_ms =
        pass_ms( *engine_model_of( first ), first ) * first_event_per_pass;
    expected.time =
        now - known.sent_at + core::duration_of_ms( prefills_ms + passes_ms );
    known.expected = std::move( expected );
    known.prefill_added_before_ms = first.prefill_added_ms;
}

auto load_table::note_first_event( known_work const& known, core::instant now )
    -> void
{
    if ( !known.expected )
        return;
    auto const is_excluded = [&known]( auto const& target )
    {
        return known.sent_at <= target->samples_count_from;
    };
    auto const& targets = known.targets;
    if ( std::any_of( targets.begin(), targets.end(), is_excluded ) )
        return;
    auto const came_at = now - first_event_report_time;
    auto const samples = scheduling::samples_of(
        with_joined_prefills( *known.expected,
                              targets.front()->prefill_added_ms -
                                  known.prefill_added_before_ms,
                              came_at ),
        came_at );
    for ( auto i = std::size_t{ 0 }; i < samples.size(); ++i )
    {
        targets[i]->speed.add_sample( samples[i], now );
        set_slowdown( targets[i], targets[i]->speed.slowdown( now ),
                      slowdown_reason::first_events, now );
    }
}

}
