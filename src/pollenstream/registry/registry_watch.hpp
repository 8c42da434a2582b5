#ifndef POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP
#define POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>
#include <pollenstream/registry/registry_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pollenstream::registry
{

/// Changes of the store's records, complete from one revision to another.
struct record_update
{
    ports::store_revision from;
    ports::record_batch batch;
    /// Entries that are missing may have lapsed while the store was away.
    bool lapse_possible{ false };
};

/// What the watch tells the rest of the process.
struct registry_events
{
    std::function<void( exchange::configuration_ptr )> on_configuration;
    std::function<void( core::target_id const& )> on_target_left;
    std::function<void()> on_targets_changed;
    std::function<void( std::string const& key, std::string const& value )>
        on_instance;
    std::function<void( std::string const& key, std::string const& value )>
        on_quarantine;
    /// The store told of changes; other instances may not have heard.
    std::function<void( record_update const& )> on_update;
    /// Longest time for which another instance has been served without a
    /// break; tells an outage of the store from one of this instance's links.
    std::function<core::duration()> others_served_for;
};

/// Follows the records of the platform's store: the operators' configuration,
/// the targets' entries and the instances. Only some instances read the store;
/// they tell the others. Which ones do is decided outside.
///
/// A record is only replaced by one of a later revision, whichever way it
/// comes, and a configuration only by one of a later version, so that
/// neither ever goes back within one lifetime of the process.
class registry_watch
{
public:
    registry_watch( ports::record_store& store,
                    ports::scheduler& scheduler,
                    registry_codec const& codec,
                    exchange::load_table& loads,
                    exchange::event_log& log,
                    registry_events events );

    /// Lists all records now.
    auto start() -> void;
    /// Waits until it is told to read the store, or is told records.
    auto start_following() -> void;
    /// From now on this instance reads the store, or follows those who do.
    auto set_reader( bool reader ) -> void;

    /// Time since the store last answered this instance.
    [[nodiscard]] auto store_age() const -> core::duration;
    /// For how long the store has served this instance without a break; zero
    /// where it does not, or where this instance does not read it.
    [[nodiscard]] auto served_for() const -> core::duration;
    /// True while a missing entry may only have lapsed.
    [[nodiscard]] auto may_be_lapsed() const -> bool;

    /// Store revision up to which all changes are known here.
    [[nodiscard]] auto known_until() const -> ports::store_revision
    {
        return known_until_;
    }
    /// True while the store answers this instance.
    [[nodiscard]] auto store_serves() const -> bool
    {
        return store_serves_;
    }
    [[nodiscard]] auto configuration() const -> exchange::configuration_ptr
    {
        return configuration_;
    }

    /// All changes after `after`, for another instance.
    [[nodiscard]] auto changes_after( ports::store_revision after ) const
        -> record_update;
    /// Takes over changes that another instance knows. Returns false where
    /// changes before them are missing here.
    auto take_update( record_update const& update, std::string const& from )
        -> bool;

private:
    struct known_record
    {
        std::string value;
        ports::store_revision revision;
    };

    auto list() -> void;
    auto watch() -> void;
    auto next() -> void;
    auto on_list( core::result<ports::record_batch> batch ) -> void;
    auto on_watch( core::result<ports::record_batch> batch ) -> void;
    auto on_trouble( core::error const& why ) -> void;
    auto on_answer() -> void;
    auto retry_later() -> void;

    auto take_complete( ports::record_batch const& batch,
                        std::string const& from ) -> void;
    auto take( ports::record const& r, std::string const& from ) -> void;
    auto take_configuration( ports::record const& r, std::string const& from )
        -> void;
    auto take_target( ports::record const& r, std::string const& from ) -> void;
    auto take_unreadable_target( std::string const& key,
                                 core::error const& why ) -> void;
    auto take_removal( std::string const& key,
                       ports::store_revision at,
                       std::string const& from ) -> void;
    auto target_gone( core::target_id const& id, std::string const& why )
        -> void;
    auto confirm_removals( record_update const& update,
                           std::string const& from ) -> void;
    [[nodiscard]] auto wait_for_return_until( core::instant since ) const
        -> core::instant;
    auto arm_missing_check() -> void;
    auto check_missing() -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    registry_codec const& codec_;
    exchange::load_table& load_table_;
    exchange::event_log& log_;
    registry_events events_;

    std::map<std::string, known_record> records_;
    /// Revisions at which records were removed, so that older ones that come
    /// by way of another instance do not bring them back.
    std::map<std::string, ports::store_revision> removed_;
    ports::store_revision known_until_;
    exchange::configuration_ptr configuration_;
    bool reader_{ true };
    bool reading_{ false }; ///< a call to the store is under way
    bool store_serves_{ false };
    bool ever_served_{ false };
    /// Until when a lapse is possible, as those who read the store have told.
    core::instant lapse_told_until_;
    core::instant answered_at_;
    core::instant served_since_;
    core::instant trouble_since_;
    core::instant trouble_until_;
    core::duration pause_{ 0 };
    std::map<core::target_id, core::instant> missing_;
    std::unique_ptr<ports::scheduled_call> retry_;
    std::unique_ptr<ports::scheduled_call> missing_check_;
};

}

#endif
