#include "support/exchange_fixture.hpp"
#include <pollenstream/registry/registration.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// A store whose lease and write calls succeed, or fail with `error` if set.
class leasing_store : public ports::record_store
{
public:
    auto list( std::string const&, batch_done ) -> void override {}
    auto watch( std::string const&,
                ports::store_revision,
                core::duration,
                batch_done ) -> void override
    {
    }
    auto put( std::string const&,
              std::string const&,
              ports::lease_id,
              done callback ) -> void override
    {
        ++puts;
        answer( callback );
    }
    auto grant_lease( core::duration, lease_done callback ) -> void override
    {
        ++grants;
        if ( error )
            return callback( *error );
        callback( ports::lease_id( grants ) );
    }
    auto renew_lease( ports::lease_id, done callback ) -> void override
    {
        answer( callback );
    }
    auto end_lease( ports::lease_id, done callback ) -> void override
    {
        ++ends;
        callback( core::success() );
    }

    std::optional<core::error> error;
    int grants{ 0 };
    int puts{ 0 };
    int ends{ 0 };

private:
    auto answer( done const& callback ) -> void
    {
        if ( error )
            return callback( *error );
        callback( core::success() );
    }
};

struct registration_fixture
{
    [[nodiscard]] auto logged_states() const -> std::vector<std::string>
    {
        auto all = std::vector<std::string>{};
        for ( auto const& event : log.all )
            all.push_back( std::get<exchange::state_change>( event ).now );
        return all;
    }

    held_scheduler scheduler;
    leasing_store store;
    recorded_events log;
    pollenstream::registry::registration registration{ store, scheduler, "me",
                                                       "10.0.0.1", log };
};

}

TEST_CASE( "an instance's record is written again after its lease has expired",
           "[registry][registration]" )
{
    auto f = registration_fixture{};
    f.registration.start();
    CHECK( f.store.puts == 1 );
    f.store.error = { core::error_code::expired, "no such lease" };
    f.scheduler.run( 20'100ms );
    f.store.error.reset();
    f.scheduler.run( 3s );
    CHECK( f.store.grants >= 2 );
    CHECK( f.store.puts == 2 );
}

TEST_CASE( "the loss of a record and its return are each logged once",
           "[registry][registration][logs]" )
{
    auto f = registration_fixture{};
    f.store.error = { core::error_code::timed_out, "no answer in time" };
    f.registration.start();
    f.scheduler.run( 10s );
    CHECK( f.logged_states() == std::vector<std::string>{ "not_held" } );
    f.store.error.reset();
    f.scheduler.run( 20s );
    CHECK( f.logged_states() ==
           std::vector<std::string>{ "not_held", "held" } );
}

TEST_CASE( "stopping ends the lease and its renewals",
           "[registry][registration]" )
{
    auto f = registration_fixture{};
    f.registration.start();
    f.registration.stop();
    f.scheduler.run( 20s );
    CHECK( f.store.ends == 1 );
    CHECK( f.store.puts == 1 );
}
