#include "support/registry_fixture.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

using namespace tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

auto entry_of_lifetime( std::int64_t born, std::string const& state = "ready" )
    -> std::string
{
    auto entry = valid_entry();
    entry["born"] = born;
    entry["state"] = state;
    return entry.dump();
}

auto work_at( std::string const& id, std::uint64_t serial )
    -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = serial;
    work.parts.push_back( { core::target_id( id ), 100, 5'000 } );
    work.context_tokens = 5'000;
    return work;
}

}

TEST_CASE( "a target that restarts under the same id gets requests again",
           "[registry][restart]" )
{
    auto f = registry_fixture{};
    f.write( "i-1", entry_of_lifetime( 1'000 ) );
    f.write( "i-1", entry_of_lifetime( 1'000, "draining" ) );
    CHECK_FALSE( f.takes_work( "i-1" ) );
    SECTION( "while its old entry is in the store" )
    {
        f.write( "i-1", entry_of_lifetime( 2'000 ) );
        CHECK( f.takes_work( "i-1" ) );
    }
    SECTION( "after its old entry was removed" )
    {
        f.write( "i-1", std::nullopt );
        f.write( "i-1", entry_of_lifetime( 2'000 ) );
        CHECK( f.takes_work( "i-1" ) );
    }
    SECTION( "but not if the entry is of the lifetime that is leaving" )
    {
        f.write( "i-1", entry_of_lifetime( 1'000 ) );
        CHECK_FALSE( f.takes_work( "i-1" ) );
    }
}

TEST_CASE( "a restarted target starts without load and ejection",
           "[registry][restart]" )
{
    auto f = registry_fixture{};
    f.write( "i-1", entry_of_lifetime( 1'000 ) );
    auto const id = core::target_id( "i-1" );
    auto const self = core::instance_id( "self" );
    auto const now = f.scheduler.now();
    auto work = work_at( "i-1", 1 );
    work.parts[0].lifetime = core::target_lifetime( 1'000 );
    f.loads.add_work( self, work, now );
    f.loads.eject( f.loads.find( id )->ref(), now, now + 5s );
    REQUIRE( f.loads.find( id )->load.requests == 1 );

    f.write( "i-1", entry_of_lifetime( 2'000 ) );
    auto const fresh = f.loads.find( id );
    CHECK( fresh->load.requests == 0 );
    CHECK( fresh->load.memory_tokens == 0 );
    CHECK( fresh->backlog_ms( now ) == 0 );
    CHECK( fresh->may_get_work( now ) );
    // The end of earlier work does not reduce the load of the new lifetime.
    f.loads.end_work( self, 1, now );
    CHECK( fresh->load.requests == 0 );
    CHECK( fresh->load.memory_tokens == 0 );
}

TEST_CASE( "updates about a former lifetime have no effect",
           "[registry][restart]" )
{
    auto f = registry_fixture{};
    f.write( "i-1", entry_of_lifetime( 1'000 ) );
    f.write( "i-1", entry_of_lifetime( 2'000 ) );
    auto const id = core::target_id( "i-1" );
    auto const former =
        exchange::target_ref{ id, core::target_lifetime( 1'000 ) };
    auto const now = f.scheduler.now();
    auto const fresh = f.loads.find( id );
    // A write of the former process that the store makes late.
    f.write( "i-1", entry_of_lifetime( 1'000, "draining" ) );
    CHECK( f.takes_work( "i-1" ) );
    // Late responses, and updates of other instances.
    f.loads.note_failure( former, now );
    f.loads.note_failure( former, now );
    f.loads.eject( former, now, now + 5s );
    f.loads.note_reported_load( former, { 9, 9, 16 }, now );
    auto work = work_at( "i-1", 7 );
    work.parts[0].lifetime = core::target_lifetime( 1'000 );
    f.loads.add_work( core::instance_id( "other" ), work, now );
    CHECK( fresh->may_get_work( now ) );
    CHECK_FALSE( fresh->reported );
    CHECK( fresh->load.requests == 0 );
}

// Guards against requests to a target that has left its address to another one
// while the store was away.
TEST_CASE( "a missing target whose address another one has is gone",
           "[registry][outage]" )
{
    auto f = registry_fixture{};
    f.write( "old", valid_entry().dump() );
    auto elsewhere = valid_entry();
    elsewhere["address"] = "10.1.0.10:8080";
    f.write( "lapsed", elsewhere.dump() );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    SECTION( "if the other one appears after its removal" )
    {
        f.write( "old", std::nullopt );
        REQUIRE( f.takes_work( "old" ) );
        f.write( "new", valid_entry().dump() );
    }
    SECTION( "if the other one is there before its removal" )
    {
        f.write( "new", valid_entry().dump() );
        f.write( "old", std::nullopt );
    }
    CHECK_FALSE( f.takes_work( "old" ) );
    CHECK( f.takes_work( "new" ) );
    // Others may still have lapsed.
    f.write( "lapsed", std::nullopt );
    CHECK( f.takes_work( "lapsed" ) );
}

TEST_CASE( "an invalid entry adds no target and does not affect the others",
           "[registry][entries]" )
{
    auto invalid_values = std::vector<std::string>{
        "", "no json", "[]", "7", "null", "\xff\xfe\x00\x81" };
    for ( auto const* field :
          { "service", "address", "zone", "version", "slots", "state",
            "cold_remaining_ms", "sequence" } )
    {
        auto entry = valid_entry();
        entry.erase( field );
        invalid_values.push_back( entry.dump() );
        for ( auto const& other :
              { json( nullptr ), json( true ), json::array(), json::object(),
                json( "" ), json( -7 ) } )
        {
            entry[field] = other;
            // `cold_remaining_ms` may be negative.
            if ( std::string( field ) != "cold_remaining_ms" || other != -7 )
                invalid_values.push_back( entry.dump() );
        }
    }
    for ( auto const& born : { json( "1000" ), json( 1.5 ), json( true ),
                               json( nullptr ), json( -1 ) } )
    {
        auto entry = valid_entry();
        entry["born"] = born;
        invalid_values.push_back( entry.dump() );
    }
    auto unknown_state = valid_entry();
    unknown_state["state"] = "resting";
    invalid_values.push_back( unknown_state.dump() );
    for ( auto const& value : invalid_values )
    {
        CAPTURE( value );
        auto f = registry_fixture{};
        f.write( "i-1", valid_entry().dump() );
        f.write( "i-2", value );
        CHECK( f.loads.find( core::target_id( "i-2" ) ) == nullptr );
        CHECK( f.count_unreadable_logs() == 1 );
        // A target whose valid entry becomes invalid gets no new requests.
        f.write( "i-3", valid_entry().dump() );
        f.write( "i-3", value );
        CHECK_FALSE( f.takes_work( "i-3" ) );
        CHECK( f.takes_work( "i-1" ) );
        f.write( "i-3", valid_entry().dump() );
        CHECK( f.takes_work( "i-3" ) );
    }
}

TEST_CASE( "parsing 5,000 corrupted entries yields errors or valid targets",
           "[registry][entries][fuzz]" )
{
    auto random = std::mt19937( 20'261'202 );
    auto const records = platform::registry_records{};
    auto const valid_value = valid_entry().dump();
    auto valid_count = 0;
    for ( auto i = 0; i < 5'000; ++i )
    {
        auto value = valid_value;
        auto const changes = 1 + random() % 4;
        for ( auto c = 0U; c < changes && !value.empty(); ++c )
        {
            auto const at = random() % value.size();
            switch ( random() % 3 )
            {
            case 0:
                value[at] = static_cast<char>( random() % 256 );
                break;
            case 1:
                value.erase( at, 1 + random() % 8 );
                break;
            default:
                value.insert( at, 1, static_cast<char>( random() % 256 ) );
            }
        }
        auto const properties = records.read_target( "servers/i-1", value );
        if ( properties.has_error() )
            continue;
        ++valid_count;
        CHECK( properties.value().slots >= 1 );
        CHECK_FALSE( properties.value().service.empty() );
        CHECK_FALSE( properties.value().address.ip.empty() );
    }
    // Some corruptions leave the entry valid, such as a changed name.
    CHECK( valid_count > 50 );
}

TEST_CASE( "a target warms up for as long as its newest entry says",
           "[registry][warm-up]" )
{
    auto f = registry_fixture{};
    auto const warms_up = [&]
    {
        return f.loads.find( core::target_id( "i-1" ) )
            ->limit.is_warming_up( f.scheduler.now() );
    };
    auto entry = valid_entry();
    f.write( "i-1", entry.dump() );
    CHECK_FALSE( warms_up() );
    entry["cold_remaining_ms"] = 3'000;
    f.write( "i-1", entry.dump() );
    CHECK( warms_up() );
    SECTION( "until the time is over" )
    {
        f.scheduler.run( 2900ms );
        CHECK( warms_up() );
        f.scheduler.run( 100ms );
        CHECK_FALSE( warms_up() );
    }
    SECTION( "until an entry says that it is over" )
    {
        entry["cold_remaining_ms"] = 0;
        f.write( "i-1", entry.dump() );
        CHECK_FALSE( warms_up() );
    }
    SECTION( "not in a later lifetime without warm-up" )
    {
        f.write( "i-1", entry_of_lifetime( 2'000'000 ) );
        CHECK_FALSE( warms_up() );
    }
}
