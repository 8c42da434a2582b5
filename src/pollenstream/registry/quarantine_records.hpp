#ifndef POLLENSTREAM_REGISTRY_QUARANTINE_RECORDS_HPP
#define POLLENSTREAM_REGISTRY_QUARANTINE_RECORDS_HPP

#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>
#include <pollenstream/registry/registry_codec.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace pollenstream::registry
{

/// Records quarantines in the platform's store, so that new instances learn of
/// them even if all other instances were lost at once. A record lasts
/// at most as long as a quarantine; then its lease in the store expires.
///
/// The first coordinator writes a record; each further one waits longer and
/// writes only if the record is still missing. Writing a record twice is
/// harmless.
class quarantine_records
{
public:
    /// Returns this instance's rank among the coordinators, from 0, or none if
    /// it is not a coordinator.
    using rank_source = std::function<std::optional<int>()>;

    quarantine_records( ports::record_store& store,
                        ports::scheduler& scheduler,
                        exchange::crash_history& crashes,
                        registry_codec const& codec,
                        rank_source own_rank );

    /// Updates the record after the quarantine of `suspects` began or ended.
    auto on_changed( exchange::suspect_list const& suspects ) -> void;
    /// Applies a record that was read from the store.
    auto apply_record( std::string const& value ) -> void;

private:
    [[nodiscard]] auto
    is_recorded( exchange::suspect_list const& suspects ) const -> bool;
    [[nodiscard]] auto
    find_group( exchange::suspect_list const& suspects ) const
        -> std::optional<exchange::quarantined_group>;
    auto schedule_write( exchange::suspect_list const& suspects,
                         core::duration delay ) -> void;
    auto write( exchange::suspect_list const& suspects ) -> void;
    auto put( exchange::suspect_list const& suspects, ports::lease_id lease )
        -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    exchange::crash_history& crashes_;
    registry_codec const& codec_;
    rank_source own_rank_;
    /// Quarantined in the store, with the step of the trials there.
    std::map<exchange::suspect_list, std::int64_t> recorded_;
    std::map<exchange::suspect_list, std::unique_ptr<ports::scheduled_call>>
        pending_writes_;
};

}

#endif
