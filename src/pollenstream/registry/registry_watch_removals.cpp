#include <pollenstream/registry/registry_watch.hpp>

#include <algorithm>
#include <utility>

// Member functions of registry_watch for records that are gone: removed, or
// only missing after an outage of the store.

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// Minimum pause between checks of missing entries.
constexpr auto min_recheck_pause = core::duration( 50ms );
/// From so many removed records on, removals of records that were not known are
/// not remembered.
constexpr auto max_removed = std::size_t{ 65'536 };

}

auto registry_watch::may_have_lapsed() const -> bool
{
    auto const now = scheduler_.now();
    if ( !reads_store_ )
        return now < reported_lapse_until_;
    auto const had_outage =
        !store_serves_ || ( outage_until_ != core::instant{} &&
                            now - outage_until_ < return_timeout );
    if ( !had_outage )
        return false;
    auto const others_served = events_.others_served_for
                                   ? events_.others_served_for()
                                   : core::duration( 0 );
    // If another instance has been served for longer than this outage, only
    // this instance was cut off and no entry has lapsed. If it has been served
    // for the whole return time, all lapsed entries have returned by now.
    return others_served < std::min( now - outage_since_, return_timeout );
}

auto registry_watch::apply_removal( std::string const& key,
                                    ports::store_revision at,
                                    std::string const& source ) -> void
{
    auto const known = records_.find( key );
    if ( known == records_.end() && removed_.size() >= max_removed )
        return;
    auto& removed = removed_[key];
    removed = std::max( removed, at );
    if ( known == records_.end() || known->second.revision > at )
        return;
    record_bytes_ -= bytes_of( key, known->second.value );
    records_.erase( known );
    auto const kind = codec_.kind_of( key );
    if ( kind == record_kind::drained_data_centre )
        return apply_drained( key, false, source );
    if ( kind == record_kind::instance && events_.on_instance_removed )
        return events_.on_instance_removed( key );
    if ( kind != record_kind::target )
        return;
    auto const id = codec_.target_of( key );
    if ( !may_have_lapsed() || has_successor( id ) )
        return mark_target_gone( id, source );
    missing_.try_emplace( id, scheduler_.now() );
    log_.record( exchange::state_change{ "target",
                                         id.str(),
                                         "missing",
                                         "its entry may have lapsed in an "
                                         "outage of the store",
                                         {} } );
    schedule_missing_check();
}

auto registry_watch::mark_target_gone( core::target_id const& id,
                                       std::string const& reason ) -> void
{
    load_table_.mark_gone( id );
    log_.record(
        exchange::state_change{ "target", id.str(), "gone", reason, {} } );
    events_.on_target_left( id );
    events_.on_targets_changed();
}

/// An address belongs to one target. Missing targets whose address `successor`
/// has now have ended: their entries will not return.
auto registry_watch::end_missing_at(
    exchange::target_properties const& successor ) -> void
{
    auto ended = std::vector<core::target_id>{};
    for ( auto const& [id, since] : missing_ )
    {
        auto const missing = load_table_.find( id );
        if ( missing && missing->properties.address == successor.address )
            ended.push_back( id );
    }
    for ( auto const& id : ended )
    {
        missing_.erase( id );
        mark_target_gone( id, "its address belongs to " + successor.id.str() );
    }
}

/// True if another target, whose entry is there, has the address of this one.
auto registry_watch::has_successor( core::target_id const& id ) const -> bool
{
    auto const removed = load_table_.find( id );
    if ( !removed )
        return false;
    auto const& all = load_table_.all();
    return std::any_of( all.begin(), all.end(),
                        [&]( auto const& entry )
                        {
                            auto const& [other_id, other] = entry;
                            return other_id != id && !other->gone &&
                                   !missing_.contains( other_id ) &&
                                   other->properties.address ==
                                       removed->properties.address;
                        } );
}

auto registry_watch::schedule_missing_check() -> void
{
    if ( missing_check_call_ || missing_.empty() )
        return;
    auto due = core::instant::max();
    for ( auto const& [id, since] : missing_ )
        due = std::min( due, return_deadline( since ) );
    auto const pause = due - scheduler_.now();
    missing_check_call_ =
        scheduler_.call_after( std::max( pause, min_recheck_pause ),
                               [this]
                               {
                                   auto const finished_call =
                                       std::move( missing_check_call_ );
                                   check_missing();
                               } );
}

/// Time at which an entry that is missing since `since` counts as removed. For
/// an instance that does not read the store, later reports of an outage do not
/// extend it: the removal was already confirmed by the store.
auto registry_watch::return_deadline( core::instant since ) const
    -> core::instant
{
    if ( !reads_store_ )
        return std::min( reported_lapse_until_, since + return_timeout );
    return outage_until_ + return_timeout;
}

auto registry_watch::check_missing() -> void
{
    auto const now = scheduler_.now();
    auto const lapsed = may_have_lapsed();
    auto gone = std::vector<core::target_id>{};
    for ( auto const& [id, since] : missing_ )
        if ( !lapsed || ( !reads_store_ && return_deadline( since ) <= now ) )
            gone.push_back( id );
    for ( auto const& id : gone )
    {
        missing_.erase( id );
        mark_target_gone( id, "its entry did not return after the outage" );
    }
    schedule_missing_check();
}

}
