#ifndef POLLENSTREAM_REGISTRY_QUARANTINE_RECORDS_HPP
#define POLLENSTREAM_REGISTRY_QUARANTINE_RECORDS_HPP

#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>
#include <pollenstream/registry/registry_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pollenstream::registry
{

/// Keeps what is quarantined in the platform's store, for instances that start
/// when nobody is left who knows: all of them may be lost at one moment. A
/// record lasts as long as a quarantine at most; the store ends it.
///
/// The first of the coordinators writes, the next ones where it has not. A
/// record is written twice where two do so at once, which does no harm.
class quarantine_records
{
public:
    /// This instance's place among the coordinators, from 0; none where it is
    /// not one of them.
    using duty = std::function<std::optional<int>()>;

    quarantine_records( ports::record_store& store,
                        ports::scheduler& scheduler,
                        exchange::crash_history& crashes,
                        registry_codec const& codec,
                        duty own_duty );

    /// The content is quarantined, or it is no more: the record has to say so.
    auto on_changed( exchange::content_id content ) -> void;
    /// A record as the store has it.
    auto take( std::string const& key, std::string const& value ) -> void;

private:
    [[nodiscard]] auto is_recorded( exchange::content_id content ) const
        -> bool;
    auto arm( exchange::content_id content, core::duration delay ) -> void;
    auto write( exchange::content_id content ) -> void;
    auto put( exchange::content_id content, ports::lease_id lease ) -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    exchange::crash_history& crashes_;
    registry_codec const& codec_;
    duty own_duty_;
    std::set<exchange::content_id> recorded_; ///< as quarantined
    std::map<exchange::content_id, std::unique_ptr<ports::scheduled_call>>
        calls_;
};

}

#endif
