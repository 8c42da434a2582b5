#ifndef POLLENSTREAM_REGISTRY_INSTANCE_RECORDS_HPP
#define POLLENSTREAM_REGISTRY_INSTANCE_RECORDS_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>
#include <pollenstream/registry/registry_codec.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::registry
{

/// Keeps the records of all instances in the platform's store, so that
/// instances find each other even if none of the addresses in their settings is
/// reachable any more.
///
/// One instance, the keeper, writes the records of all, many in one call and
/// under one lease. If each wrote its own, the calls would grow with the number
/// of instances at every start and renewal. Two keepers at the same time write
/// the same records, which is harmless.
class instance_records
{
public:
    /// IP addresses by instance.
    using address_map = std::map<core::instance_id, std::string>;
    /// Returns the instances that should have records; none if another instance
    /// is the keeper.
    using address_source = std::function<std::optional<address_map>()>;

    instance_records( ports::record_store& store,
                      ports::scheduler& scheduler,
                      registry_codec const& codec,
                      address_source addresses,
                      exchange::event_log& log );

    /// Writes and renews the records from now on while this instance is the
    /// keeper.
    auto start() -> void;
    /// The store no longer has the record `key`. If it should be there, as
    /// after a removal by another keeper that has lost sight of the instance,
    /// it is written again.
    auto note_removed( std::string const& key ) -> void;

private:
    auto schedule( core::duration delay ) -> void;
    auto step() -> void;
    auto begin_keeping() -> void;
    auto end_keeping() -> void;
    auto grant() -> void;
    auto renew() -> void;
    auto write_changes( address_map const& wanted ) -> void;
    /// The next changes from what this instance has written to `wanted`.
    [[nodiscard]] auto changes_to( address_map const& wanted ) const
        -> ports::record_changes;
    auto note_written( ports::record_changes const& changes ) -> void;
    auto on_failure( core::error const& error ) -> void;
    auto log_state( bool held, std::string const& reason ) -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    registry_codec const& codec_;
    address_source addresses_;
    exchange::event_log& log_;
    bool is_keeper_{ false };
    std::optional<ports::lease_id> lease_;
    core::instant renew_at_;
    std::map<std::string, std::string> written_; ///< under `lease_`
    std::optional<bool> logged_held_;
    std::unique_ptr<ports::scheduled_call> next_step_;
};

}

#endif
