#ifndef TESTS_SUPPORT_REGISTRY_FIXTURE_HPP
#define TESTS_SUPPORT_REGISTRY_FIXTURE_HPP

#include "registry_records.hpp"
#include "support/answered_store.hpp"
#include "support/exchange_fixture.hpp"
#include <pollenstream/registry/registry_watch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tests
{

namespace platform = pollenstream::platform;
namespace registry = pollenstream::registry;

/// Returns a valid entry, as a target writes it.
inline auto valid_entry() -> nlohmann::json
{
    return nlohmann::json{ { "service", "model" },
                           { "address", "10.1.0.9:8080" },
                           { "zone", "a" },
                           { "version", "v1" },
                           { "slots", 16 },
                           { "state", "ready" },
                           { "cold_remaining_ms", 0 },
                           { "stage", "colocated" },
                           { "sequence", 4 },
                           { "born", 1'000'000 } };
}

/// A registry watch of one instance on the platform's records.
struct registry_fixture
{
    registry_fixture()
    {
        auto events = registry::registry_events{};
        events.on_configuration = []( auto const& ) {};
        events.on_target_left = []( auto const& ) {};
        events.on_targets_changed = [] {};
        events.on_instance = []( auto const&, auto const& ) {};
        watch = std::make_unique<registry::registry_watch>(
            store, scheduler, records, loads, log, std::move( events ) );
        watch->start();
        store.answer( { {}, ports::store_revision( 1 ) } );
    }
    /// The store reports that the record of `key` was written, or removed.
    auto write_record( std::string const& key,
                       std::optional<std::string> value ) -> void
    {
        auto const at = ports::store_revision( ++revision );
        store.answer( { { { key, std::move( value ), at } }, at } );
    }
    auto write( std::string const& id, std::optional<std::string> value )
        -> void
    {
        write_record( "servers/" + id, std::move( value ) );
    }
    [[nodiscard]] auto takes_work( std::string const& id ) const -> bool
    {
        auto const t = loads.find( core::target_id( id ) );
        return t && t->takes_work();
    }
    [[nodiscard]] auto count_unreadable_logs() const -> std::int64_t
    {
        return std::count_if( log.all.begin(), log.all.end(),
                              []( auto const& e )
                              {
                                  auto const* b =
                                      std::get_if<exchange::state_change>( &e );
                                  return b != nullptr && b->now == "unreadable";
                              } );
    }

    held_scheduler scheduler;
    answered_store store;
    platform::registry_records records;
    exchange::load_table loads;
    recorded_events log;
    std::unique_ptr<registry::registry_watch> watch;
    int revision{ 1 };
};

}

#endif
