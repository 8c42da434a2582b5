#include <pollenstream/core/invariant.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <algorithm>
#include <exception>
#include <utility>

// Member functions of registry_watch that apply records, from the store or from
// another instance.

namespace pollenstream::registry
{

namespace
{

/// Memory of a record beside its key and its value.
constexpr auto record_overhead_bytes = std::size_t{ 256 };

/// Source of a target's entry for logs, with the target's lifetime if known.
auto describe_source( std::string const& source,
                      core::target_lifetime lifetime ) -> std::string
{
    if ( lifetime == core::target_lifetime{} )
        return source;
    return source + ", lifetime " + std::to_string( lifetime.count() );
}

/// Name of the change in logs.
auto name_of( exchange::target_change change ) -> char const*
{
    switch ( change )
    {
    case exchange::target_change::none:
        return "unchanged";
    case exchange::target_change::added:
        return "ready";
    case exchange::target_change::restarted:
        return "restarted";
    case exchange::target_change::starts_to_leave:
        return "leaving";
    }
    return "unknown";
}

}

auto registry_watch::bytes_of( std::string const& key,
                               std::string const& value ) -> std::size_t
{
    return record_overhead_bytes + key.size() + value.size();
}

auto registry_watch::changes_after( ports::store_revision after ) const
    -> record_update
{
    auto update = record_update{};
    update.from = after;
    update.batch.at = known_until_;
    update.lapse_possible = may_have_lapsed();
    for ( auto const& [key, known] : records_ )
        if ( known.changed_at > after )
            update.batch.records.push_back(
                { key, known.value, known.revision } );
    for ( auto const& [key, revision] : removed_ )
        if ( revision > after )
            update.batch.records.push_back( { key, std::nullopt, revision } );
    return update;
}

/// Marks missing targets as gone if the sender of the update knows that their
/// entries were removed. Senders that had an outage report the same removals as
/// possible lapses.
auto registry_watch::confirm_removals( record_update const& update,
                                       std::string const& source ) -> void
{
    if ( update.lapse_possible )
        return;
    for ( auto const& r : update.batch.records )
    {
        if ( r.value || codec_.kind_of( r.key ) != record_kind::target )
            continue;
        auto const id = codec_.target_of( r.key );
        if ( missing_.erase( id ) > 0 )
            mark_target_gone( id, source );
    }
}

auto registry_watch::apply_update( record_update const& update,
                                   std::string const& source ) -> bool
{
    confirm_removals( update, source );
    if ( update.batch.at <= known_until_ )
        return true;
    // The report of possible lapses must expire, because there may be no
    // further update that withdraws it.
    reported_lapse_until_ = update.lapse_possible
                                ? scheduler_.now() + return_timeout
                                : core::instant{};
    auto is_whole = true;
    for ( auto const& r : update.batch.records )
    {
        if ( has_room_for( r, source ) )
            apply_record( r, source );
        else
            is_whole = false;
    }
    // Each record is valid by itself, but the changes between `known_until_`
    // and `update.from` are still missing here.
    if ( update.from > known_until_ || !is_whole )
        return false;
    known_until_ = std::max( known_until_, update.batch.at );
    return true;
}

/// Logs the first that is left out; the counter has all.
auto registry_watch::has_room_for( ports::record const& r,
                                   std::string const& source ) -> bool
{
    auto const known = records_.find( r.key );
    auto const freed =
        known == records_.end() ? 0 : bytes_of( r.key, known->second.value );
    auto const needed = r.value ? bytes_of( r.key, *r.value ) : 0;
    if ( record_bytes_ - freed + needed <= max_record_bytes_ || needed == 0 )
        return true;
    left_out_.add();
    if ( left_out_.value() == 1 )
        log_.record(
            exchange::state_change{ "record",
                                    r.key,
                                    "left_out",
                                    "no memory for records of " + source,
                                    {} } );
    return false;
}

auto registry_watch::apply_record( ports::record const& r,
                                   std::string const& source ) -> void
{
    if ( codec_.kind_of( r.key ) == record_kind::other )
        return;
    if ( !r.value )
        return apply_removal( r.key, r.revision, source );
    auto const removed = removed_.find( r.key );
    if ( removed != removed_.end() && removed->second >= r.revision )
        return;
    auto const [position, is_new] = records_.try_emplace( r.key );
    auto& known = position->second;
    record_bytes_ += is_new ? bytes_of( r.key, known.value ) : 0;
    if ( known.revision >= r.revision )
        return;
    record_bytes_ += r.value->size();
    record_bytes_ -= known.value.size();
    auto const kind = codec_.kind_of( r.key );
    auto const is_unchanged = kind == record_kind::instance &&
                              known.changed_at != ports::store_revision{} &&
                              known.value == *r.value;
    known = { *r.value, r.revision,
              is_unchanged ? known.changed_at : r.revision };
    if ( !is_unchanged )
        apply_changed_record( r, source );
}

/// Applies the value of one record. If that throws, the record has no effect,
/// and those after it are applied.
auto registry_watch::apply_changed_record( ports::record const& r,
                                           std::string const& source ) -> void
{
    try
    {
        apply_value( r, source );
    }
    catch ( std::exception const& e )
    {
        log_.record( exchange::state_change{
            "record", r.key, "not_applied", e.what(), {} } );
    }
}

auto registry_watch::apply_value( ports::record const& r,
                                  std::string const& source ) -> void
{
    switch ( codec_.kind_of( r.key ) )
    {
    case record_kind::configuration:
        return apply_configuration( r, source );
    case record_kind::target:
        return apply_target( r, source );
    case record_kind::instance:
        return events_.on_instance( r.key, *r.value );
    case record_kind::quarantine:
        return events_.on_quarantine( r.key, *r.value );
    case record_kind::drained_data_centre:
        return apply_drained( r.key, true, source );
    case record_kind::other:
        return;
    }
}

auto registry_watch::apply_configuration( ports::record const& r,
                                          std::string const& source ) -> void
{
    auto read = codec_.read_configuration( *r.value );
    if ( read.has_error() )
    {
        // The last readable version stays in force.
        log_.record( exchange::state_change{
            "configuration", r.key, "unreadable", read.error().detail, {} } );
        return;
    }
    auto const new_configuration = std::move( read.value() );
    if ( configuration_ &&
         new_configuration->version <= configuration_->version )
        return;
    core::check_invariant( core::invariant::revision_only_rises,
                           !configuration_ || new_configuration->version >
                                                  configuration_->version,
                           "the configuration version decreased" );
    configuration_ = new_configuration;
    log_.record( exchange::state_change{
        "configuration",
        std::to_string( new_configuration->version.count() ),
        "in_force",
        source,
        {} } );
    events_.on_configuration( new_configuration );
}

auto registry_watch::apply_target( ports::record const& r,
                                   std::string const& source ) -> void
{
    auto read = codec_.read_target( r.key, *r.value );
    if ( read.has_error() )
        return apply_unreadable_target( r.key, read.error() );
    auto const& properties = read.value();
    auto const& id = properties.id;
    missing_.erase( id );
    end_missing_at( properties );
    auto const change = load_table_.put( properties );
    if ( change != exchange::target_change::none )
        log_.record( exchange::state_change{
            "target",
            id.str(),
            name_of( change ),
            describe_source( source, properties.lifetime ),
            {} } );
    note_warm_up( properties, source );
    if ( change == exchange::target_change::starts_to_leave )
        events_.on_target_left( id );
    events_.on_targets_changed();
}

/// The record states the rest of the warm-up at the time of its writing. It is
/// counted from now on, as that time is not known: a target that is spared for
/// too long loses less than one that crashes under its load.
auto registry_watch::note_warm_up(
    exchange::target_properties const& properties, std::string const& source )
    -> void
{
    auto const ref = exchange::target_ref( properties.id, properties.lifetime );
    if ( load_table_.note_warm_up( ref, properties.warm_up_left,
                                   scheduler_.now() ) )
        log_.record(
            exchange::state_change{ "target",
                                    properties.id.str(),
                                    "warms_up",
                                    source + ", " +
                                        std::to_string( core::milliseconds_of(
                                            properties.warm_up_left ) ) +
                                        " ms left",
                                    {} } );
}

/// The record says by its existence that the data centre is drained; what it
/// holds does not matter.
auto registry_watch::apply_drained( std::string const& key,
                                    bool drained,
                                    std::string const& source ) -> void
{
    auto const id = codec_.data_centre_of( key );
    if ( !load_table_.set_drained( id, drained ) )
        return;
    log_.record( exchange::state_change{ "data_centre",
                                         id.str(),
                                         drained ? "drained" : "in_service",
                                         source,
                                         {} } );
    events_.on_targets_changed();
}

/// An unreadable entry adds no target. A target that the entry described before
/// gets no new requests until the entry can be read again.
auto registry_watch::apply_unreadable_target( std::string const& key,
                                              core::error const& error ) -> void
{
    log_.record( exchange::state_change{
        "target", key, "unreadable", error.detail, {} } );
    auto const id = codec_.target_of( key );
    missing_.erase( id );
    auto const at = load_table_.find( id );
    if ( at && !at->gone )
        mark_target_gone( id, "its entry cannot be read" );
}

}
