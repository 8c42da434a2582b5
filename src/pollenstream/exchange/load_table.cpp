#include <pollenstream/core/hash.hpp>
#include <pollenstream/exchange/load_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// Duration of a target's first ejection, doubled with each further failure.
/// It starts short because a lost connection should cost little, and grows
/// because a crashed target takes seconds to come back.
constexpr auto first_ejection = core::duration( 500ms );
constexpr auto max_ejection = core::duration( 8s );
/// Failures in a row after which a target is ejected. A single failure may be
/// the connection's rather than the target's.
constexpr auto failures_to_eject = std::int64_t{ 2 };
/// Share of failed requests from which a target is ejected even if some
/// requests succeed in between. Each request decays the earlier ones by
/// `failure_decay`.
constexpr auto failure_share_to_eject = 0.45;
constexpr auto failure_decay = 0.8;

auto ejection_time( std::int64_t failures ) -> core::duration
{
    constexpr auto max_doublings = std::int64_t{ 4 };
    auto const doublings = std::clamp( failures - failures_to_eject,
                                       std::int64_t{ 0 }, max_doublings );
    return std::min( max_ejection, first_ejection * ( 1 << doublings ) );
}

}

auto target_entry::backlog_ms( core::instant now ) const -> double
{
    return std::max( 0.0,
                     core::seconds_of( load.prefill_until - now ) * 1'000 );
}

auto load_table::put( target_properties properties ) -> target_change
{
    auto const entry = find( properties.id );
    if ( !entry || entry->properties.service != properties.service )
    {
        auto const leaving = properties.leaving;
        replace_entry( std::move( properties ) );
        return leaving ? target_change::starts_to_leave : target_change::added;
    }
    if ( properties.lifetime < entry->properties.lifetime )
        return target_change::none;
    if ( properties.lifetime > entry->properties.lifetime )
    {
        replace_entry( std::move( properties ) );
        return target_change::restarted;
    }
    auto const starts_to_leave =
        properties.leaving && !entry->properties.leaving;
    // A target that has begun to leave does not return in the same lifetime.
    properties.leaving = properties.leaving || entry->properties.leaving;
    entry->data_centre_drained = is_drained( properties );
    entry->properties = std::move( properties );
    entry->gone = false;
    return starts_to_leave ? target_change::starts_to_leave
                           : target_change::none;
}

/// Open work keeps a pointer to the entry on which it was counted, so that its
/// end is not subtracted from the new entry.
auto load_table::replace_entry( target_properties properties ) -> void
{
    auto entry = std::make_shared<target_entry>();
    entry->rank = core::stable_hash( properties.id.str() );
    entry->data_centre_drained = is_drained( properties );
    entry->properties = std::move( properties );
    pauses_.erase( entry->properties.id );
    limited_.erase( entry->properties.id );
    slowed_.erase( entry->properties.id );
    auto& slot = by_id_[entry->properties.id];
    auto const former = std::exchange( slot, entry );
    if ( former )
        erase_from_service( former );
    insert_into_service( entry );
}

auto load_table::is_drained( target_properties const& properties ) const -> bool
{
    return drained_data_centres_.contains( properties.data_centre );
}

auto load_table::set_drained( core::data_centre_id const& id, bool drained )
    -> bool
{
    auto const is_change = drained ? drained_data_centres_.insert( id ).second
                                   : drained_data_centres_.erase( id ) > 0;
    if ( is_change )
        for ( auto const& [target, entry] : by_id_ )
            entry->data_centre_drained = is_drained( entry->properties );
    return is_change;
}

auto load_table::remove( core::target_id const& id ) -> void
{
    auto const found = by_id_.find( id );
    if ( found == by_id_.end() )
        return;
    erase_from_service( found->second );
    by_id_.erase( found );
    limited_.erase( id );
    slowed_.erase( id );
}

auto load_table::mark_gone( core::target_id const& id ) -> void
{
    auto const entry = find( id );
    if ( entry )
        entry->gone = true;
}

/// Inserts at the sorted position. Sorting again after each insertion would
/// take 0.28 s for 3,000 targets at startup instead of 0.003 s.
auto load_table::insert_into_service(
    std::shared_ptr<target_entry> const& entry ) -> void
{
    auto& order = by_service_[entry->properties.service];
    auto const position =
        std::lower_bound( order.begin(), order.end(), entry->rank,
                          []( auto const& other, std::uint64_t rank )
                          {
                              return other->rank < rank;
                          } );
    order.insert( position, entry );
}

auto load_table::erase_from_service(
    std::shared_ptr<target_entry> const& entry ) -> void
{
    std::erase( by_service_[entry->properties.service], entry );
}

auto load_table::find( core::target_id const& id ) const
    -> std::shared_ptr<target_entry>
{
    auto const found = by_id_.find( id );
    return found == by_id_.end() ? nullptr : found->second;
}

auto load_table::find_lifetime( target_ref const& ref ) const
    -> std::shared_ptr<target_entry>
{
    auto const entry = find( ref.id );
    return entry && entry->properties.lifetime == ref.lifetime ? entry
                                                               : nullptr;
}

auto load_table::find_by_name( std::string const& name ) const
    -> std::shared_ptr<target_entry>
{
    if ( auto by_id = find( core::target_id( name ) ) )
        return by_id;
    for ( auto const& [id, entry] : by_id_ )
        if ( entry->is_staying() &&
             core::to_string( entry->properties.address ) == name )
            return entry;
    return nullptr;
}

auto load_table::of_service( core::service_id const& id ) const
    -> std::vector<std::shared_ptr<target_entry>> const&
{
    static auto const none = std::vector<std::shared_ptr<target_entry>>{};
    auto const found = by_service_.find( id );
    return found == by_service_.end() ? none : found->second;
}

auto load_table::note_failure( target_ref const& ref,
                               core::instant now,
                               target_failure failure ) -> bool
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return false;
    auto const reported =
        entry->reported ? entry->reported->running + entry->reported->waiting
                        : 0;
    auto const is_full =
        std::max( entry->load.requests, reported ) >= entry->properties.slots;
    if ( failure == target_failure::turned_away && is_full )
        return false;
    auto& health = entry->health;
    ++health.failures_in_a_row;
    health.failure_share =
        health.failure_share * failure_decay + ( 1 - failure_decay );
    auto const is_failing = health.failures_in_a_row >= failures_to_eject ||
                            health.failure_share >= failure_share_to_eject;
    if ( !is_failing )
        return false;
    return eject( ref, now, now + ejection_time( health.failures_in_a_row ) );
}

auto load_table::note_success( target_ref const& ref ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return;
    entry->health.failures_in_a_row = 0;
    entry->health.failure_share *= failure_decay;
}

auto load_table::forget_failures() -> void
{
    for ( auto const& [id, target] : by_id_ )
        target->health = {};
}

auto load_table::note_announced_leaving( target_ref const& ref ) -> bool
{
    auto const entry = find_lifetime( ref );
    return entry && !std::exchange( entry->announced_leaving, true );
}

auto load_table::eject( target_ref const& ref,
                        core::instant now,
                        core::instant until ) -> bool
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return false;
    auto& ejected_until = entry->health.ejected_until;
    auto const was_ejected = ejected_until > now;
    ejected_until = std::max( ejected_until, until );
    return !was_ejected;
}

auto load_table::pause( target_ref const& ref, core::instant until ) -> void
{
    if ( !find_lifetime( ref ) )
        return;
    auto& end = pauses_[ref.id];
    end = std::max( end, until );
}

auto load_table::is_paused( target_ref const& ref, core::instant now ) const
    -> bool
{
    auto const found = pauses_.find( ref.id );
    return found != pauses_.end() && found->second > now;
}

auto load_table::paused( core::service_id const& service,
                         core::instant now ) const -> std::vector<paused_target>
{
    auto all = std::vector<paused_target>{};
    for ( auto const& [id, until] : pauses_ )
    {
        auto const entry = find( id );
        if ( until > now && entry && entry->properties.service == service )
            all.push_back( { id, until } );
    }
    return all;
}

auto load_table::note_reported_load( target_ref const& ref,
                                     reported_load load,
                                     core::instant now ) -> void
{
    auto const entry = find_lifetime( ref );
    if ( !entry )
        return;
    entry->reported = load;
    entry->reported_at = now;
}

}
