#ifndef POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP
#define POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>
#include <pollenstream/registry/registry_codec.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pollenstream::registry
{

/// All changes of the store's records after revision `from` up to revision
/// `batch.at`.
struct record_update
{
    ports::store_revision from;
    ports::record_batch batch;
    /// Missing entries may only have lapsed: the store ends the lease of an
    /// entry that its target cannot renew during an outage of the store.
    bool lapse_possible{ false };
};

/// Callbacks of `registry_watch`.
struct registry_events
{
    std::function<void( exchange::configuration_ptr )> on_configuration;
    std::function<void( core::target_id const& )> on_target_left;
    std::function<void()> on_targets_changed;
    std::function<void( std::string const& key, std::string const& value )>
        on_instance;
    std::function<void( std::string const& key )> on_instance_removed;
    std::function<void( std::string const& key, std::string const& value )>
        on_quarantine;
    /// The store reported changes that other instances may not know yet.
    std::function<void( record_update const& )> on_update;
    /// Longest time for which the store has served another instance without
    /// interruption. Distinguishes an outage of the store from one of this
    /// instance's network.
    std::function<core::duration()> others_served_for;
};

/// Follows the records in the platform's store: the operators' configuration
/// and the data centres that they have drained, the entries of the targets, the
/// instances and the quarantines. Only some
/// instances read the store; the others follow the updates that these send. The
/// user of this class decides with `set_reader` whether this instance reads.
///
/// A record is replaced only by one of a later revision, and a configuration
/// only by one of a later version, whether it comes from the store or from
/// another instance. So neither goes back while the process runs.
class registry_watch
{
public:
    registry_watch( ports::record_store& store,
                    ports::scheduler& scheduler,
                    registry_codec const& codec,
                    exchange::load_table& loads,
                    exchange::event_log& log,
                    registry_events events );

    /// Starts to read the store, with a list of all records.
    auto start() -> void;
    /// Starts without reading the store: waits for `set_reader` or updates.
    auto start_following() -> void;
    /// Sets whether this instance reads the store or follows other instances.
    auto set_reader( bool reader ) -> void;

    /// Time since the last successful response of the store.
    [[nodiscard]] auto store_age() const -> core::duration;
    /// Time for which the store has served this instance without interruption;
    /// zero if the store is unavailable or this instance does not read it.
    [[nodiscard]] auto served_for() const -> core::duration;
    /// True while a missing entry may have lapsed instead of being removed.
    [[nodiscard]] auto may_have_lapsed() const -> bool;

    /// Store revision up to which all changes are known here.
    [[nodiscard]] auto known_until() const -> ports::store_revision
    {
        return known_until_;
    }
    /// True while the store responds to this instance.
    [[nodiscard]] auto store_serves() const -> bool
    {
        return store_serves_;
    }
    [[nodiscard]] auto configuration() const -> exchange::configuration_ptr
    {
        return configuration_;
    }

    /// Returns all changes after revision `after`, for another instance.
    [[nodiscard]] auto changes_after( ports::store_revision after ) const
        -> record_update;
    /// Applies changes that another instance sent. Returns false if earlier
    /// changes are missing here.
    auto apply_update( record_update const& update, std::string const& source )
        -> bool;

    /// Limits the memory of the records, as far as they come from other
    /// instances: those of the store are kept in any case.
    auto set_max_record_bytes( std::size_t bytes ) -> void
    {
        max_record_bytes_ = bytes;
    }
    /// Records of other instances that were left out for want of memory.
    [[nodiscard]] auto records_left_out() const -> std::uint64_t
    {
        return left_out_.value();
    }

private:
    /// Time that lapsed entries have to return after an outage of the store.
    /// Targets write them again within two seconds; the rest allows for a late
    /// response.
    static constexpr auto return_timeout =
        core::duration( std::chrono::milliseconds( 2'300 ) );

    /// Memory that a record takes.
    [[nodiscard]] static auto bytes_of( std::string const& key,
                                        std::string const& value )
        -> std::size_t;

    struct known_record
    {
        std::string value;
        ports::store_revision revision; ///< of the last write
        /// Of the last write that changed the value. A record that was written
        /// again unchanged need not be sent to instances that have it.
        ports::store_revision changed_at;
    };

    auto list() -> void;
    auto send_list() -> void;
    auto arm_next_list() -> void;
    auto watch() -> void;
    auto continue_watching() -> void;
    using reply_handler =
        void ( registry_watch::* )( core::result<ports::record_batch> );
    auto run( reply_handler handle, core::result<ports::record_batch> batch )
        -> void;
    auto on_list( core::result<ports::record_batch> batch ) -> void;
    auto on_watch( core::result<ports::record_batch> batch ) -> void;
    auto on_failure( core::error const& error ) -> void;
    auto on_success() -> void;
    auto schedule_retry() -> void;

    auto apply_list( ports::record_batch const& batch,
                     std::string const& source ) -> void;
    /// False, and counts it, if there is no memory for the record.
    [[nodiscard]] auto has_room_for( ports::record const& r,
                                     std::string const& source ) -> bool;
    auto apply_record( ports::record const& r, std::string const& source )
        -> void;
    auto apply_changed_record( ports::record const& r,
                               std::string const& source ) -> void;
    auto apply_value( ports::record const& r, std::string const& source )
        -> void;
    auto apply_configuration( ports::record const& r,
                              std::string const& source ) -> void;
    auto apply_target( ports::record const& r, std::string const& source )
        -> void;
    auto note_warm_up( exchange::target_properties const& properties,
                       std::string const& source ) -> void;
    auto apply_drained( std::string const& key,
                        bool drained,
                        std::string const& source ) -> void;
    auto apply_unreadable_target( std::string const& key,
                                  core::error const& error ) -> void;
    auto apply_removal( std::string const& key,
                        ports::store_revision at,
                        std::string const& source ) -> void;
    auto mark_target_gone( core::target_id const& id,
                           std::string const& reason ) -> void;
    auto confirm_removals( record_update const& update,
                           std::string const& source ) -> void;
    [[nodiscard]] auto return_deadline( core::instant since ) const
        -> core::instant;
    auto end_missing_at( exchange::target_properties const& successor ) -> void;
    [[nodiscard]] auto has_successor( core::target_id const& id ) const -> bool;
    auto schedule_missing_check() -> void;
    auto check_missing() -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    registry_codec const& codec_;
    exchange::load_table& load_table_;
    exchange::event_log& log_;
    registry_events events_;

    static constexpr auto default_max_record_bytes = std::size_t{ 32 } << 20U;

    std::map<std::string, known_record> records_;
    std::size_t record_bytes_{ 0 }; ///< of `records_`
    std::size_t max_record_bytes_{ default_max_record_bytes };
    core::counter left_out_;
    /// Revisions at which records were removed, so that older updates of other
    /// instances do not restore them.
    std::map<std::string, ports::store_revision> removed_;
    ports::store_revision known_until_;
    exchange::configuration_ptr configuration_;
    bool reads_store_{ true };
    bool call_in_progress_{ false }; ///< to the store
    std::uint64_t list_round_{ 0 };  ///< answers of earlier rounds are ignored
    int open_lists_{ 0 };            ///< calls of this round without an answer
    bool store_serves_{ false };
    std::string store_problem_; ///< why the last call failed; empty: it did not
    bool has_served_{ false };
    /// Until when entries may have lapsed, as reported by instances that read
    /// the store.
    core::instant reported_lapse_until_;
    core::instant answered_at_;
    core::instant served_since_;
    core::instant outage_since_;
    core::instant outage_until_; ///< last failure, or first response after it
    core::duration retry_pause_{ 0 };
    /// Targets with a missing entry, and since when.
    std::map<core::target_id, core::instant> missing_;
    std::unique_ptr<ports::scheduled_call> next_list_call_;
    std::unique_ptr<ports::scheduled_call> retry_call_;
    std::unique_ptr<ports::scheduled_call> missing_check_call_;
};

}

#endif
