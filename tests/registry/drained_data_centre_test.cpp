#include "support/registry_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

// Operators drain a data centre with a record in the store: its targets get no
// new requests until the record is removed.

using namespace tests;

namespace
{

auto entry_in( std::string const& data_centre ) -> std::string
{
    auto entry = valid_entry();
    entry["zone"] = data_centre;
    return entry.dump();
}

auto drain( registry_fixture& f, std::string const& data_centre ) -> void
{
    f.write_record( "op/evacuate/" + data_centre, "{}" );
}

auto take_back( registry_fixture& f, std::string const& data_centre ) -> void
{
    f.write_record( "op/evacuate/" + data_centre, std::nullopt );
}

}

TEST_CASE( "targets of a drained data centre get no requests until its return",
           "[registry][drain]" )
{
    auto f = registry_fixture{};
    f.write( "a1", entry_in( "a" ) );
    f.write( "b1", entry_in( "b" ) );
    drain( f, "a" );
    CHECK_FALSE( f.takes_work( "a1" ) );
    CHECK( f.takes_work( "b1" ) );
    SECTION( "also those that are added, and entries that are written again" )
    {
        f.write( "a2", entry_in( "a" ) );
        f.write( "a1", entry_in( "a" ) );
        CHECK_FALSE( f.takes_work( "a1" ) );
        CHECK_FALSE( f.takes_work( "a2" ) );
    }
    SECTION( "also those that restart" )
    {
        auto restarted = valid_entry();
        restarted["born"] = 2'000'000;
        f.write( "a1", restarted.dump() );
        CHECK_FALSE( f.takes_work( "a1" ) );
    }
    SECTION( "each data centre by itself" )
    {
        drain( f, "b" );
        take_back( f, "a" );
        CHECK( f.takes_work( "a1" ) );
        CHECK_FALSE( f.takes_work( "b1" ) );
    }
    SECTION( "and again after it" )
    {
        take_back( f, "a" );
        CHECK( f.takes_work( "a1" ) );
        drain( f, "a" );
        CHECK_FALSE( f.takes_work( "a1" ) );
    }
}

TEST_CASE(
    "an older update changes no data centre that was drained or returned",
    "[registry][drain]" )
{
    auto f = registry_fixture{};
    f.write( "a1", entry_in( "a" ) );
    drain( f, "a" );
    auto const drained_at = ports::store_revision( f.revision );
    take_back( f, "a" );
    auto const returned_at = ports::store_revision( f.revision );
    auto update = registry::record_update{};
    update.from = drained_at;
    update.batch.at = ports::store_revision( f.revision + 1 );
    SECTION( "the record of before does not drain it again" )
    {
        update.batch.records.push_back( { "op/evacuate/a", "{}", drained_at } );
        f.watch->apply_update( update, "other" );
        CHECK( f.takes_work( "a1" ) );
    }
    SECTION( "the removal of before does not return it" )
    {
        drain( f, "a" );
        update.batch.at = ports::store_revision( f.revision + 1 );
        update.batch.records.push_back(
            { "op/evacuate/a", std::nullopt, returned_at } );
        f.watch->apply_update( update, "other" );
        CHECK_FALSE( f.takes_work( "a1" ) );
    }
}

TEST_CASE( "an instance that starts takes drained data centres from another",
           "[registry][drain]" )
{
    auto f = registry_fixture{};
    drain( f, "a" );
    f.write( "a1", entry_in( "a" ) );
    auto started = registry_fixture{};
    started.watch->apply_update(
        f.watch->changes_after( ports::store_revision{} ), "other" );
    CHECK_FALSE( started.takes_work( "a1" ) );
}

TEST_CASE( "what the record of a drained data centre holds does not matter",
           "[registry][drain]" )
{
    auto f = registry_fixture{};
    f.write( "a1", entry_in( "a" ) );
    for ( auto const* value : { "", "no json", "[]", R"({"until":3})" } )
    {
        f.write_record( "op/evacuate/a", value );
        CHECK_FALSE( f.takes_work( "a1" ) );
        take_back( f, "a" );
        CHECK( f.takes_work( "a1" ) );
    }
    // These name no data centre.
    f.write_record( "op/evacuate/", "{}" );
    f.write_record( "op/evacuate", "{}" );
    CHECK( f.takes_work( "a1" ) );
}
