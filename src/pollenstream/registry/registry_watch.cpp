#include <pollenstream/core/invariant.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace pollenstream::registry
{

namespace
{

using namespace std::chrono_literals;

/// Duration of one watch. If the store discards its history, open watches get
/// no more changes, and only a new watch reports the loss. A short watch keeps
/// the delay of changes below two seconds, as leaving targets require.
constexpr auto watch_timeout = core::duration( 700ms );
/// Time after which an instance without records sends another list call beside
/// one that has no answer. A call that was made while the store was unreachable
/// stays without one after the store's return.
constexpr auto next_list_delay = core::duration( 250ms );
/// Bounds the connections that hang at the same time: calls time out after this
/// many delays.
constexpr auto max_open_lists = 6;
/// Bounds of the pause before the next call after a failure; it doubles.
constexpr auto min_pause = core::duration( 100ms );
constexpr auto max_pause = core::duration( 800ms );
/// Time that lapsed entries have to return after an outage of the store.
/// Targets write them again within two seconds; the rest allows for a late
/// response.
constexpr auto return_timeout = core::duration( 2300ms );
/// Minimum pause between checks of missing entries.
constexpr auto min_recheck_pause = core::duration( 50ms );

/// From so many removed records on, removals of records that were not known are
/// not remembered.
constexpr auto max_removed = std::size_t{ 65'536 };
/// Memory of a record beside its key and its value.
constexpr auto record_overhead_bytes = std::size_t{ 256 };

auto bytes_of( std::string const& key, std::string const& value ) -> std::size_t
{
    return record_overhead_bytes + key.size() + value.size();
}

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

registry_watch::registry_watch( ports::record_store& store,
                                ports::scheduler& scheduler,
                                registry_codec const& codec,
                                exchange::load_table& loads,
                                exchange::event_log& log,
                                registry_events events )
    : store_( store ), scheduler_( scheduler ), codec_( codec ),
      load_table_( loads ), log_( log ), events_( std::move( events ) )
{
}

auto registry_watch::start() -> void
{
    list();
}

auto registry_watch::start_following() -> void
{
    reads_store_ = false;
}

auto registry_watch::set_reader( bool reader ) -> void
{
    if ( std::exchange( reads_store_, reader ) == reader || !reader )
        return;
    if ( call_in_progress_ || retry_call_ )
        return;
    if ( known_until_ == ports::store_revision{} )
        list();
    else
        watch();
}

auto registry_watch::store_age() const -> core::duration
{
    return scheduler_.now() - answered_at_;
}

auto registry_watch::served_for() const -> core::duration
{
    if ( !reads_store_ || !store_serves_ )
        return core::duration( 0 );
    return scheduler_.now() - served_since_;
}

/// Starts the next watch, unless this instance no longer reads the store.
auto registry_watch::continue_watching() -> void
{
    if ( reads_store_ )
        watch();
}

auto registry_watch::list() -> void
{
    call_in_progress_ = true;
    ++list_round_;
    open_lists_ = 0;
    send_list();
}

auto registry_watch::send_list() -> void
{
    ++open_lists_;
    arm_next_list();
    // The first records may be old: what has changed since follows at once,
    // from the watch or from another instance. Of many instances that start
    // together each may read them.
    auto const age = known_until_ == ports::store_revision{}
                         ? ports::read_age::any
                         : ports::read_age::latest;
    store_.list( "", age,
                 [this, round = list_round_]( auto batch )
                 {
                     if ( round == list_round_ )
                         run( &registry_watch::on_list, std::move( batch ) );
                 } );
}

/// Sends another list call later, if this instance still needs the records.
auto registry_watch::arm_next_list() -> void
{
    if ( next_list_call_ || known_until_ != ports::store_revision{} )
        return;
    next_list_call_ = scheduler_.call_after(
        next_list_delay,
        [this]
        {
            auto const finished_call = std::move( next_list_call_ );
            if ( reads_store_ && open_lists_ < max_open_lists )
                send_list();
        } );
}

auto registry_watch::watch() -> void
{
    call_in_progress_ = true;
    store_.watch( "", known_until_, watch_timeout,
                  [this]( auto batch )
                  {
                      run( &registry_watch::on_watch, std::move( batch ) );
                  } );
}

/// Handles a reply of the store. If that throws, the records are read again
/// later, as after a failed call: no other call would follow.
auto registry_watch::run( reply_handler handle,
                          core::result<ports::record_batch> batch ) -> void
{
    try
    {
        ( this->*handle )( std::move( batch ) );
    }
    catch ( std::exception const& e )
    {
        on_failure( { core::error_code::failed, e.what() } );
    }
}

auto registry_watch::on_list( core::result<ports::record_batch> batch ) -> void
{
    --open_lists_;
    if ( batch.has_error() && open_lists_ > 0 )
        return arm_next_list();
    call_in_progress_ = false;
    next_list_call_.reset();
    ++list_round_;
    if ( batch.has_error() )
        return on_failure( batch.error() );
    on_success();
    auto const previous_revision = known_until_;
    apply_list( batch.value(), "store" );
    if ( events_.on_update && known_until_ > previous_revision )
        events_.on_update( changes_after( previous_revision ) );
    continue_watching();
}

auto registry_watch::on_watch( core::result<ports::record_batch> batch ) -> void
{
    call_in_progress_ = false;
    if ( batch.has_error() )
    {
        // The store may have discarded its history, the lost connection may
        // have hidden changes, or all changes together are too large for one
        // reply, so list all records. None of these is an outage yet; the list
        // call shows whether there is one.
        auto const code = batch.error().code;
        if ( code == core::error_code::expired ||
             code == core::error_code::connection_lost ||
             code == core::error_code::malformed )
            return list();
        return on_failure( batch.error() );
    }
    on_success();
    auto const previous_revision = known_until_;
    for ( auto const& r : batch.value().records )
        apply_record( r, "store" );
    known_until_ = std::max( known_until_, batch.value().at );
    if ( events_.on_update && known_until_ > previous_revision )
        events_.on_update( changes_after( previous_revision ) );
    continue_watching();
}

auto registry_watch::on_failure( core::error const& error ) -> void
{
    if ( std::exchange( store_problem_, error.detail ) != error.detail )
        log_.record(
            exchange::state_change{ "store", "", "away", error.detail, {} } );
    if ( store_serves_ || outage_since_ == core::instant{} )
        outage_since_ = scheduler_.now() - store_age();
    store_serves_ = false;
    outage_until_ = scheduler_.now();
    schedule_retry();
}

auto registry_watch::on_success() -> void
{
    retry_pause_ = core::duration( 0 );
    store_problem_.clear();
    answered_at_ = scheduler_.now();
    reported_lapse_until_ = core::instant{};
    if ( store_serves_ )
        return;
    store_serves_ = true;
    served_since_ = answered_at_;
    if ( std::exchange( has_served_, true ) )
        outage_until_ = scheduler_.now();
    log_.record(
        exchange::state_change{ "store", "", "serves", "it answered", {} } );
}

auto registry_watch::schedule_retry() -> void
{
    retry_pause_ = std::clamp( retry_pause_ * 2, min_pause, max_pause );
    retry_call_ = scheduler_.call_after( retry_pause_,
                                         [this]
                                         {
                                             auto const finished_call =
                                                 std::move( retry_call_ );
                                             if ( reads_store_ )
                                                 list();
                                         } );
}

auto registry_watch::apply_list( ports::record_batch const& batch,
                                 std::string const& source ) -> void
{
    auto listed = std::set<std::string>{};
    for ( auto const& r : batch.records )
    {
        listed.insert( r.key );
        apply_record( r, source );
    }
    auto gone = std::vector<std::string>{};
    for ( auto const& [key, known] : records_ )
        if ( !listed.contains( key ) && known.revision <= batch.at )
            gone.push_back( key );
    for ( auto const& key : gone )
        apply_removal( key, batch.at, source );
    known_until_ = std::max( known_until_, batch.at );
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
