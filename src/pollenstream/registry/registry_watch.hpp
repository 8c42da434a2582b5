#ifndef POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP
#define POLLENSTREAM_REGISTRY_REGISTRY_WATCH_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/exchange/target_board.hpp>
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

/// What the watch tells the rest of the process.
struct registry_events
{
    std::function<void( exchange::configuration_ptr )> on_configuration;
    std::function<void( core::target_id const& )> on_target_left;
    std::function<void()> on_targets_changed;
    std::function<void( std::string const& key, std::string const& value )>
        on_instance;
};

/// Follows the records of the platform's store: the operators' configuration,
/// the targets' entries and the instances. While the store does not serve
/// this instance, records come from other instances.
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
                    exchange::target_board& board,
                    exchange::event_log& log,
                    registry_events events );

    auto start() -> void;

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

    /// Everything that is known, for another instance.
    [[nodiscard]] auto snapshot() const -> ports::record_batch;
    /// Takes over what another instance knows, complete up to `batch.at`.
    auto take_snapshot( ports::record_batch const& batch,
                        std::string const& from ) -> void;

private:
    struct known_record
    {
        std::string value;
        ports::store_revision revision;
    };

    auto list() -> void;
    auto watch() -> void;
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
    auto take_removal( std::string const& key,
                       ports::store_revision at,
                       std::string const& from ) -> void;
    auto target_gone( core::target_id const& id, std::string const& why )
        -> void;
    auto may_be_lapsed() const -> bool;
    auto arm_missing_check() -> void;
    auto check_missing() -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    registry_codec const& codec_;
    exchange::target_board& board_;
    exchange::event_log& log_;
    registry_events events_;

    std::map<std::string, known_record> records_;
    /// Revisions at which records were removed, so that older ones that come
    /// by way of another instance do not bring them back.
    std::map<std::string, ports::store_revision> removed_;
    ports::store_revision known_until_;
    exchange::configuration_ptr configuration_;
    bool store_serves_{ false };
    bool ever_served_{ false };
    core::instant trouble_until_;
    core::duration pause_{ 0 };
    std::map<core::target_id, core::instant> missing_;
    std::unique_ptr<ports::scheduled_call> retry_;
    std::unique_ptr<ports::scheduled_call> missing_check_;
};

}

#endif
