#include "support/registry_fixture.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace tests;

namespace
{

/// Throws for one target.
class throwing_codec : public platform::registry_records
{
public:
    [[nodiscard]] auto read_target( std::string const& key,
                                    std::string const& value ) const
        -> core::result<exchange::target_properties> override
    {
        if ( key == "servers/bad" )
            throw std::length_error( "thrown by a test" );
        return platform::registry_records::read_target( key, value );
    }
};

}

// Guards against one record that keeps an instance from following the store.
TEST_CASE( "a record that cannot be applied has no effect on the others",
           "[registry][exception]" )
{
    auto f = registry_fixture{};
    auto const codec = throwing_codec{};
    auto store = answered_store{};
    auto loads = exchange::load_table{};
    auto events = registry::registry_events{};
    events.on_target_left = []( auto const& ) {};
    events.on_targets_changed = [] {};
    auto watch = registry::registry_watch( store, f.scheduler, codec, loads,
                                           f.log, std::move( events ) );
    watch.start();
    store.answer( { {}, ports::store_revision( 1 ) } );
    auto const entry = valid_entry().dump();
    auto const at = ports::store_revision( 4 );
    store.answer( { { { "servers/one", entry, ports::store_revision( 2 ) },
                      { "servers/bad", entry, ports::store_revision( 3 ) },
                      { "servers/two", entry, at } },
                    at } );
    CHECK( loads.find( core::target_id( "one" ) ) );
    CHECK( loads.find( core::target_id( "two" ) ) );
    CHECK_FALSE( loads.find( core::target_id( "bad" ) ) );
    CHECK( f.log.count_changes( "record", "not_applied" ) == 1 );
    CHECK( store.watches == 2 );
    CHECK( store.known_at == at );
}
