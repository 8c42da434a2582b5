#include "registry_records.hpp"
#include "support/exchange_fixture.hpp"
#include <pollenstream/registry/instance_records.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// One instance keeps the records of all in the store. Written by each instance
// for itself they took two calls an instance at every start, and a renewal each
// 20 s.

using namespace tests;
using namespace std::chrono_literals;
namespace registry = pollenstream::registry;

namespace
{

/// A store that keeps the records of leases that have not ended. Calls fail
/// with `error` if it is set.
class leasing_store : public ports::record_store
{
public:
    auto list( std::string const&, ports::read_age, batch_done )
        -> void override
    {
    }
    auto watch( std::string const&,
                ports::store_revision,
                core::duration,
                batch_done ) -> void override
    {
    }
    auto write( ports::record_changes const& changes,
                ports::lease_id lease,
                done callback ) -> void override
    {
        ++calls;
        if ( error )
            return callback( *error );
        CHECK( changes.size() <= ports::record_changes::max_size );
        for ( auto const& put : changes.puts )
            records[put.key] = put.value;
        for ( auto const& key : changes.removals )
            records.erase( key );
        leases_in_use.insert( lease );
        callback( core::success() );
    }
    auto grant_lease( core::duration, lease_done callback ) -> void override
    {
        ++calls;
        if ( error )
            return callback( *error );
        callback( ports::lease_id( ++last_lease ) );
    }
    auto renew_lease( ports::lease_id, done callback ) -> void override
    {
        ++renewals;
        if ( error )
            return callback( *error );
        callback( core::success() );
    }
    auto end_lease( ports::lease_id, done callback ) -> void override
    {
        ++ends;
        callback( core::success() );
    }

    std::optional<core::error> error;
    std::map<std::string, std::string> records;
    std::set<ports::lease_id> leases_in_use;
    int calls{ 0 }; ///< without renewals
    int renewals{ 0 };
    int ends{ 0 };

private:
    int last_lease{ 0 };
};

struct keeper_fixture
{
    keeper_fixture()
    {
        add( 100 );
        records.start();
    }
    auto add( int count ) -> void
    {
        for ( auto i = 0; i < count; ++i )
        {
            auto const number = std::to_string( addresses.size() + 1 );
            addresses[core::instance_id( "n" + number )] = "10.0.0." + number;
        }
    }
    [[nodiscard]] auto logged_states() const -> std::vector<std::string>
    {
        auto all = std::vector<std::string>{};
        for ( auto const& event : log.all )
            all.push_back( std::get<exchange::state_change>( event ).now );
        return all;
    }

    held_scheduler scheduler;
    leasing_store store;
    pollenstream::platform::registry_records codec;
    recorded_events log;
    registry::instance_records::address_map addresses;
    bool is_keeper{ true };
    registry::instance_records records{
        store, scheduler, codec,
        [this]
        {
            return is_keeper ? std::optional( addresses ) : std::nullopt;
        },
        log };
};

}

TEST_CASE( "the records of 100 instances take one lease and four writes",
           "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.scheduler.run( 10s );
    CHECK( f.store.records.size() == 100 );
    CHECK( f.store.calls == 5 );
    CHECK( f.store.leases_in_use.size() == 1 );
    SECTION( "and one more for instances that start together" )
    {
        f.add( 30 );
        f.scheduler.run( 5s );
        CHECK( f.store.records.size() == 130 );
        CHECK( f.store.calls == 6 );
    }
    SECTION( "and nothing but renewals of the lease while nothing changes" )
    {
        f.scheduler.run( 100s );
        CHECK( f.store.calls == 5 );
        CHECK( f.store.renewals == 5 );
    }
    SECTION( "instances that have left lose theirs, moved ones get a new one" )
    {
        f.addresses.erase( core::instance_id( "n7" ) );
        f.addresses[core::instance_id( "n8" )] = "10.0.1.8";
        f.scheduler.run( 2s );
        CHECK( f.store.records.size() == 99 );
        CHECK( f.store.records.at( f.codec.instance_key(
                   core::instance_id( "n8" ) ) ) == "10.0.1.8" );
        CHECK( f.store.calls == 6 );
    }
}

TEST_CASE( "all records are written again after the lease has expired",
           "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.scheduler.run( 10s );
    f.store.records.clear();
    f.store.error = { core::error_code::expired, "no such lease" };
    f.scheduler.run( 20s );
    f.store.error.reset();
    f.scheduler.run( 5s );
    CHECK( f.store.records.size() == 100 );
    CHECK( f.store.leases_in_use.size() == 2 );
}

TEST_CASE( "a record that another keeper removed is written again",
           "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.scheduler.run( 10s );
    auto const key = f.codec.instance_key( core::instance_id( "n7" ) );
    f.store.records.erase( key );
    f.records.note_removed( key );
    f.scheduler.run( 2s );
    CHECK( f.store.records.contains( key ) );
    // One that is not needed any more is not.
    f.addresses.erase( core::instance_id( "n8" ) );
    f.scheduler.run( 2s );
    f.records.note_removed( f.codec.instance_key( core::instance_id( "n8" ) ) );
    f.scheduler.run( 2s );
    CHECK( f.store.records.size() == 99 );
}

TEST_CASE( "a write that failed is made again", "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.scheduler.run( 1010ms );
    REQUIRE( f.store.records.size() == 32 );
    f.store.error = { core::error_code::timed_out, "no answer in time" };
    f.scheduler.run( 3s );
    f.store.error.reset();
    f.scheduler.run( 3s );
    CHECK( f.store.records.size() == 100 );
    CHECK( f.store.leases_in_use.size() == 1 );
}

TEST_CASE( "the loss of the records and their return are each logged once",
           "[registry][registration][logs]" )
{
    auto f = keeper_fixture{};
    f.store.error = { core::error_code::timed_out, "no answer in time" };
    f.scheduler.run( 10s );
    CHECK( f.logged_states() == std::vector<std::string>{ "not_held" } );
    f.store.error.reset();
    f.scheduler.run( 20s );
    CHECK( f.logged_states() ==
           std::vector<std::string>{ "not_held", "held" } );
}

TEST_CASE( "an instance that is not the keeper makes no call to the store",
           "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.is_keeper = false;
    f.scheduler.run( 60s );
    CHECK( f.store.calls + f.store.renewals + f.store.ends == 0 );
    SECTION( "until it becomes the keeper" )
    {
        f.is_keeper = true;
        f.scheduler.run( 10s );
        CHECK( f.store.records.size() == 100 );
    }
}

TEST_CASE( "a former keeper leaves the records to their lease",
           "[registry][registration]" )
{
    auto f = keeper_fixture{};
    f.scheduler.run( 10s );
    f.is_keeper = false;
    f.scheduler.run( 60s );
    CHECK( f.store.renewals == 0 );
    CHECK( f.store.ends == 0 );
    CHECK( f.store.records.size() == 100 );
    SECTION( "and writes them anew when it becomes the keeper again" )
    {
        f.store.records.clear();
        f.is_keeper = true;
        f.scheduler.run( 10s );
        CHECK( f.store.records.size() == 100 );
        CHECK( f.store.leases_in_use.size() == 2 );
    }
}
