#include "support/answered_store.hpp"
#include "support/exchange_fixture.hpp"
#include <pollenstream/registry/registry_watch.hpp>

#include <catch2/catch.hpp>

#include <functional>

using namespace tests;
using namespace std::chrono_literals;
namespace registry = pollenstream::registry;

namespace
{

/// `config` holds a version, `t/ID` a target with `ready` or `leaving`.
class plain_codec : public registry::registry_codec
{
public:
    [[nodiscard]] auto kind_of( std::string const& key ) const
        -> registry::record_kind override
    {
        if ( key == "config" )
            return registry::record_kind::configuration;
        return key.starts_with( "t/" ) ? registry::record_kind::target
                                       : registry::record_kind::other;
    }
    [[nodiscard]] auto read_configuration( std::string const& value ) const
        -> core::result<exchange::configuration_ptr> override
    {
        if ( value == "bad" )
            return core::error{ core::error_code::malformed, "bad" };
        return sample_configuration( std::stoi( value ) );
    }
    [[nodiscard]] auto target_of( std::string const& key ) const
        -> core::target_id override
    {
        return core::target_id( key.substr( 2 ) );
    }
    [[nodiscard]] auto read_target( std::string const& key,
                                    std::string const& value ) const
        -> core::result<exchange::target_properties> override
    {
        if ( value == "bad" )
            return core::error{ core::error_code::malformed, "bad" };
        auto properties = make_target( key.substr( 2 ), "plain" );
        properties.leaving = value == "leaving";
        return properties;
    }
    [[nodiscard]] auto instance_key( core::instance_id const& id ) const
        -> std::string override
    {
        return "i/" + id.str();
    }
    [[nodiscard]] auto quarantine_key( exchange::content_id id ) const
        -> std::string override
    {
        return "q/" + exchange::to_string( id );
    }
    [[nodiscard]] auto content_of( std::string const& ) const
        -> exchange::content_id override
    {
        return {};
    }
    [[nodiscard]] auto
    write_quarantine( std::vector<exchange::crashed_run> const& ) const
        -> std::string override
    {
        return {};
    }
    [[nodiscard]] auto read_quarantine( std::string const&,
                                        std::string const&,
                                        core::instant ) const
        -> core::result<std::vector<exchange::crashed_run>> override
    {
        return std::vector<exchange::crashed_run>{};
    }
};

auto rec( std::string key, std::string value, int revision ) -> ports::record
{
    return { std::move( key ), std::move( value ),
             ports::store_revision( revision ) };
}

auto gone( std::string key, int revision ) -> ports::record
{
    return { std::move( key ), std::nullopt,
             ports::store_revision( revision ) };
}

struct watch_fixture
{
    watch_fixture()
    {
        auto events = registry::registry_events{};
        events.on_configuration = [this]( auto c )
        {
            versions.push_back( c->version.count() );
        };
        events.on_target_left = [this]( auto const& id )
        {
            left.push_back( id.str() );
        };
        events.on_targets_changed = [] {};
        events.on_instance = []( auto const&, auto const& ) {};
        events.others_served_for = [this]
        {
            return others_served;
        };
        events.on_update = [this]( auto const& u )
        {
            updates.push_back( u );
        };
        watch = std::make_unique<registry::registry_watch>(
            store, scheduler, codec, loads, log, std::move( events ) );
        watch->start();
    }
    auto takes_work( std::string const& id ) const -> bool
    {
        auto const t = loads.find( core::target_id( id ) );
        return t && t->takes_work();
    }

    held_scheduler scheduler;
    answered_store store;
    plain_codec codec;
    exchange::load_table loads;
    recorded_events log;
    std::vector<std::int64_t> versions;
    std::vector<std::string> left;
    std::vector<registry::record_update> updates;
    core::duration others_served{ 0 };
    std::unique_ptr<registry::registry_watch> watch;
};

auto batch( std::vector<ports::record> records, int at ) -> ports::record_batch
{
    return { std::move( records ), ports::store_revision( at ) };
}

}

TEST_CASE( "a configuration never goes back, whichever way it comes",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "config", "5", 10 ) }, 10 ) );
    f.store.answer( batch( { rec( "config", "7", 12 ) }, 12 ) );
    // An older record from another instance, and a later one of an older
    // version.
    f.watch->take_update( { ports::store_revision( 0 ),
                            batch( { rec( "config", "5", 10 ) }, 20 ), false },
                          "peer" );
    f.watch->take_update( { ports::store_revision( 0 ),
                            batch( { rec( "config", "6", 21 ) }, 21 ), false },
                          "peer" );
    CHECK( f.versions == std::vector<std::int64_t>{ 5, 7 } );
}

TEST_CASE( "an unreadable configuration leaves the last good one in force",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "config", "5", 10 ) }, 10 ) );
    f.store.answer( batch( { rec( "config", "bad", 11 ) }, 11 ) );
    CHECK( f.watch->configuration()->version == core::revision( 5 ) );
    f.store.answer( batch( { rec( "config", "6", 12 ) }, 12 ) );
    CHECK( f.watch->configuration()->version == core::revision( 6 ) );
}

TEST_CASE( "a target that leaves or is removed gets no more work",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ), rec( "t/b", "ready", 2 ),
                             rec( "t/c", "bad", 3 ) },
                           3 ) );
    CHECK( f.takes_work( "a" ) );
    CHECK( f.loads.find( core::target_id( "c" ) ) == nullptr );
    f.store.answer(
        batch( { rec( "t/a", "leaving", 4 ), gone( "t/b", 5 ) }, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
    CHECK_FALSE( f.takes_work( "b" ) );
    CHECK( f.left == std::vector<std::string>{ "a", "b" } );
}

TEST_CASE(
    "entries that lapsed while the store was away have time to come back",
    "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer(
        batch( { rec( "t/a", "ready", 1 ), rec( "t/b", "ready", 2 ) }, 2 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    f.store.answer( batch( {}, 8 ) );
    CHECK( f.takes_work( "a" ) );
    CHECK( f.takes_work( "b" ) );
    f.scheduler.run( 1s );
    f.store.answer( batch( { rec( "t/a", "ready", 9 ) }, 9 ) );
    f.scheduler.run( 4s );
    CHECK( f.takes_work( "a" ) );
    // Still missing after that is gone.
    CHECK_FALSE( f.takes_work( "b" ) );
}

TEST_CASE( "a history that is gone is listed anew", "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    CHECK( f.store.lists == 1 );
    f.store.fail( core::error_code::expired );
    CHECK( f.store.lists == 2 );
    f.store.answer( batch( {}, 6 ) );
    // The store was there all the time: what is not listed has left.
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "an instance that follows takes changes that join what it knows",
           "[registry][peers]" )
{
    auto reader = watch_fixture{};
    auto follower = watch_fixture{};
    reader.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    follower.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    follower.watch->set_reader( false );
    follower.store.answer( batch( {}, 1 ) );
    auto const watches = follower.store.watches;
    reader.store.answer( batch( { rec( "t/a", "leaving", 2 ) }, 2 ) );
    auto const missed = reader.updates.back();
    reader.store.answer( batch( { rec( "t/b", "ready", 3 ) }, 3 ) );
    // The second change came without the first.
    CHECK_FALSE( follower.watch->take_update( reader.updates.back(), "r" ) );
    CHECK( follower.watch->known_until() == ports::store_revision( 1 ) );
    CHECK( follower.takes_work( "a" ) );
    CHECK( follower.takes_work( "b" ) );
    CHECK( follower.watch->take_update(
        reader.watch->changes_after( follower.watch->known_until() ), "r" ) );
    CHECK_FALSE( follower.takes_work( "a" ) );
    CHECK( follower.takes_work( "b" ) );
    CHECK( follower.store.watches == watches );
    // A late copy changes nothing.
    CHECK( follower.watch->take_update( missed, "r" ) );
    CHECK( follower.takes_work( "b" ) );
    follower.watch->set_reader( true );
    CHECK( follower.store.watches == watches + 1 );
    CHECK( follower.store.known_at == ports::store_revision( 3 ) );
}

TEST_CASE( "a follower hears that a missing entry may only have lapsed",
           "[registry][peers][outage]" )
{
    auto reader = watch_fixture{};
    auto follower = watch_fixture{};
    for ( auto* f : { &reader, &follower } )
        f->store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    follower.watch->set_reader( false );
    follower.store.answer( batch( {}, 1 ) );
    reader.store.fail( core::error_code::timed_out );
    reader.scheduler.run( 150ms );
    reader.store.answer( batch( {}, 5 ) );
    follower.watch->take_update( reader.updates.back(), "r" );
    CHECK( follower.takes_work( "a" ) );
    // The reader has waited in vain.
    reader.scheduler.run( 3s );
    reader.store.answer( batch( {}, 6 ) );
    follower.watch->take_update( reader.updates.back(), "r" );
    follower.scheduler.run( 3s );
    CHECK_FALSE( follower.takes_work( "a" ) );
}

TEST_CASE( "an instance that alone was cut off takes a removal for what it is",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.scheduler.run( 1s );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    // Others were served all the time, so that no entry has lapsed.
    f.others_served = 60s;
    f.store.answer( batch( {}, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a missing entry is gone when its time is over and not later",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 4 ) );
    f.scheduler.run( 2s );
    f.store.answer( batch( { gone( "t/a", 5 ) }, 5 ) );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 400ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower that hears nothing more lets a missing target go",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.watch->set_reader( false );
    f.store.answer( batch( {}, 1 ) );
    f.watch->take_update(
        { ports::store_revision( 1 ), batch( { gone( "t/a", 2 ) }, 2 ), true },
        "reader" );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 2'400ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a watch that is cut is no outage of the store",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::connection_lost );
    REQUIRE( f.store.lists == 2 );
    f.store.answer( batch( {}, 4 ) );
    // The store served all the time, so that the entry has not lapsed.
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "later news does not prolong the time of a missing target",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer(
        batch( { rec( "t/a", "ready", 1 ), rec( "t/b", "ready", 1 ) }, 1 ) );
    f.watch->set_reader( false );
    f.store.answer( batch( {}, 1 ) );
    f.watch->take_update(
        { ports::store_revision( 1 ), batch( { gone( "t/a", 2 ) }, 2 ), true },
        "reader" );
    f.scheduler.run( 1'500ms );
    f.watch->take_update( { ports::store_revision( 2 ),
                            batch( { rec( "t/b", "leaving", 3 ) }, 3 ), true },
                          "reader" );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 900ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower takes the surer word on a missing target",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.watch->set_reader( false );
    f.store.answer( batch( {}, 1 ) );
    auto update = registry::record_update{
        ports::store_revision( 1 ), batch( { gone( "t/a", 2 ) }, 2 ), true };
    f.watch->take_update( update, "was cut off" );
    CHECK( f.takes_work( "a" ) );
    update.lapse_possible = false;
    f.watch->take_update( update, "was served all the time" );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "what others saw served for the whole time of return has not lapsed",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 60s );
    // The others had trouble of their own meanwhile, seconds ago.
    f.others_served = 6s;
    f.store.answer( batch( { rec( "t/a", "ready", 1 ) }, 4 ) );
    f.store.answer( batch( { gone( "t/a", 5 ) }, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "one that follows lists all records only when it is told to read",
           "[registry][store]" )
{
    auto f = watch_fixture{};
    auto const lists = f.store.lists;
    auto events = registry::registry_events{};
    events.on_configuration = []( auto const& ) {};
    events.on_targets_changed = [] {};
    auto follower = registry::registry_watch(
        f.store, f.scheduler, f.codec, f.loads, f.log, std::move( events ) );
    follower.start_following();
    f.scheduler.run( 2s );
    CHECK( f.store.lists == lists );
    follower.set_reader( true );
    CHECK( f.store.lists == lists + 1 );
}
