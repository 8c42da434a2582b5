#include "support/answered_store.hpp"
#include "support/exchange_fixture.hpp"
#include "support/registry_fixture.hpp"
#include <pollenstream/registry/registry_watch.hpp>

#include <catch2/catch.hpp>

#include <functional>

using namespace tests;
using namespace std::chrono_literals;
namespace registry = pollenstream::registry;

namespace
{

/// Parses minimal records: `config` holds a version number, and `t/ID` the
/// state `ready` or `leaving` of target ID. The value `bad` is invalid.
class minimal_codec : public registry::registry_codec
{
public:
    [[nodiscard]] auto kind_of( std::string const& key ) const
        -> registry::record_kind override
    {
        if ( key == "config" )
            return registry::record_kind::configuration;
        if ( key.starts_with( "i/" ) )
            return registry::record_kind::instance;
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
    [[nodiscard]] auto data_centre_of( std::string const& ) const
        -> core::data_centre_id override
    {
        return {};
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
    [[nodiscard]] auto
    quarantine_key( exchange::suspect_list const& suspects ) const
        -> std::string override
    {
        return "q/" + exchange::to_string( suspects );
    }
    [[nodiscard]] auto
    write_quarantine( exchange::quarantined_group const& ) const
        -> std::string override
    {
        return {};
    }
    [[nodiscard]] auto read_quarantine( std::string const&,
                                        core::instant ) const
        -> core::result<exchange::quarantined_group> override
    {
        return exchange::quarantined_group{};
    }
};

auto make_record( std::string key, std::string value, int revision )
    -> ports::record
{
    return { std::move( key ), std::move( value ),
             ports::store_revision( revision ) };
}

auto make_removal( std::string key, int revision ) -> ports::record
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
            left_targets.push_back( id.str() );
        };
        events.on_targets_changed = [] {};
        events.on_instance = []( auto const&, auto const& ) {};
        events.on_instance_removed = [this]( auto const& key )
        {
            removed_instances.push_back( key );
        };
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
    minimal_codec codec;
    exchange::load_table loads;
    recorded_events log;
    std::vector<std::int64_t> versions;
    std::vector<std::string> left_targets;
    std::vector<std::string> removed_instances;
    std::vector<registry::record_update> updates;
    core::duration others_served{ 0 };
    std::unique_ptr<registry::registry_watch> watch;
};

auto make_batch( std::vector<ports::record> records, int at )
    -> ports::record_batch
{
    return { std::move( records ), ports::store_revision( at ) };
}

}

TEST_CASE( "the configuration version never decreases, from store or peers",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "config", "5", 10 ) }, 10 ) );
    f.store.answer( make_batch( { make_record( "config", "7", 12 ) }, 12 ) );
    // An older record from another instance, then a later record with an older
    // version.
    f.watch->apply_update(
        { ports::store_revision( 0 ),
          make_batch( { make_record( "config", "5", 10 ) }, 20 ), false },
        "peer" );
    f.watch->apply_update(
        { ports::store_revision( 0 ),
          make_batch( { make_record( "config", "6", 21 ) }, 21 ), false },
        "peer" );
    CHECK( f.versions == std::vector<std::int64_t>{ 5, 7 } );
}

TEST_CASE( "an unreadable configuration leaves the last readable one in force",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "config", "5", 10 ) }, 10 ) );
    f.store.answer( make_batch( { make_record( "config", "bad", 11 ) }, 11 ) );
    CHECK( f.watch->configuration()->version == core::revision( 5 ) );
    f.store.answer( make_batch( { make_record( "config", "6", 12 ) }, 12 ) );
    CHECK( f.watch->configuration()->version == core::revision( 6 ) );
}

TEST_CASE( "a target that leaves or is removed gets no new requests",
           "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ),
                                  make_record( "t/b", "ready", 2 ),
                                  make_record( "t/c", "bad", 3 ) },
                                3 ) );
    CHECK( f.takes_work( "a" ) );
    CHECK( f.loads.find( core::target_id( "c" ) ) == nullptr );
    f.store.answer( make_batch(
        { make_record( "t/a", "leaving", 4 ), make_removal( "t/b", 5 ) }, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
    CHECK_FALSE( f.takes_work( "b" ) );
    CHECK( f.left_targets == std::vector<std::string>{ "a", "b" } );
}

TEST_CASE( "entries that lapsed in an outage of the store have time to return",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch(
        { make_record( "t/a", "ready", 1 ), make_record( "t/b", "ready", 2 ) },
        2 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    f.store.answer( make_batch( {}, 8 ) );
    CHECK( f.takes_work( "a" ) );
    CHECK( f.takes_work( "b" ) );
    f.scheduler.run( 1s );
    f.store.answer( make_batch( { make_record( "t/a", "ready", 9 ) }, 9 ) );
    f.scheduler.run( 4s );
    CHECK( f.takes_work( "a" ) );
    // An entry that is still missing after that time counts as removed.
    CHECK_FALSE( f.takes_work( "b" ) );
}

TEST_CASE( "only the first records may be old, and changes since follow",
           "[registry][store]" )
{
    auto f = watch_fixture{};
    CHECK( f.store.last_age == ports::read_age::any );
    f.store.answer( make_batch(
        { make_record( "config", "1", 4 ), make_record( "t/a", "ready", 4 ) },
        5 ) );
    // The next read asks for all changes after the records that it has.
    CHECK( f.store.known_at == ports::store_revision( 5 ) );
    f.store.answer( make_batch(
        { make_record( "config", "2", 6 ), make_removal( "t/a", 7 ) }, 7 ) );
    CHECK( f.versions == std::vector<std::int64_t>{ 1, 2 } );
    CHECK_FALSE( f.takes_work( "a" ) );
    f.store.fail( core::error_code::expired );
    CHECK( f.store.last_age == ports::read_age::latest );
}

TEST_CASE( "all records are listed again after the history is discarded",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    CHECK( f.store.lists == 1 );
    f.store.fail( core::error_code::expired );
    CHECK( f.store.lists == 2 );
    f.store.answer( make_batch( {}, 6 ) );
    // The store was never unavailable, so an entry that is not listed was
    // removed.
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower reports a gap between the updates that it applies",
           "[registry][peers]" )
{
    auto reader = watch_fixture{};
    auto follower = watch_fixture{};
    reader.store.answer(
        make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    follower.store.answer(
        make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    follower.watch->set_reader( false );
    follower.store.answer( make_batch( {}, 1 ) );
    auto const watches = follower.store.watches;
    reader.store.answer(
        make_batch( { make_record( "t/a", "leaving", 2 ) }, 2 ) );
    auto const missed = reader.updates.back();
    reader.store.answer(
        make_batch( { make_record( "t/b", "ready", 3 ) }, 3 ) );
    // The second change arrives without the first.
    CHECK_FALSE( follower.watch->apply_update( reader.updates.back(), "r" ) );
    CHECK( follower.watch->known_until() == ports::store_revision( 1 ) );
    CHECK( follower.takes_work( "a" ) );
    CHECK( follower.takes_work( "b" ) );
    CHECK( follower.watch->apply_update(
        reader.watch->changes_after( follower.watch->known_until() ), "r" ) );
    CHECK_FALSE( follower.takes_work( "a" ) );
    CHECK( follower.takes_work( "b" ) );
    CHECK( follower.store.watches == watches );
    // A late copy of the first change has no effect.
    CHECK( follower.watch->apply_update( missed, "r" ) );
    CHECK( follower.takes_work( "b" ) );
    follower.watch->set_reader( true );
    CHECK( follower.store.watches == watches + 1 );
    CHECK( follower.store.known_at == ports::store_revision( 3 ) );
}

TEST_CASE(
    "an instance's record that is written again unchanged is not sent on",
    "[registry]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "i/n1", "10.0.0.1", 5 ) }, 5 ) );
    f.store.answer( make_batch( { make_record( "i/n1", "10.0.0.1", 6 ) }, 6 ) );
    CHECK( f.updates.back().batch.records.empty() );
    CHECK( f.updates.back().batch.at == ports::store_revision( 6 ) );
    SECTION( "but to an instance that does not have it" )
    {
        CHECK( f.watch->changes_after( ports::store_revision( 4 ) )
                   .batch.records.size() == 1 );
    }
    SECTION( "but once it has changed" )
    {
        f.store.answer(
            make_batch( { make_record( "i/n1", "10.0.0.2", 7 ) }, 7 ) );
        CHECK( f.updates.back().batch.records.size() == 1 );
    }
    SECTION( "but after a removal" )
    {
        f.store.answer( make_batch( { make_removal( "i/n1", 7 ) }, 7 ) );
        CHECK( f.removed_instances == std::vector<std::string>{ "i/n1" } );
        f.store.answer(
            make_batch( { make_record( "i/n1", "10.0.0.1", 8 ) }, 8 ) );
        CHECK( f.updates.back().batch.records.size() == 1 );
    }
}

TEST_CASE( "an update tells a follower that a missing entry may have lapsed",
           "[registry][peers][outage]" )
{
    auto reader = watch_fixture{};
    auto follower = watch_fixture{};
    for ( auto* f : { &reader, &follower } )
        f->store.answer(
            make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    follower.watch->set_reader( false );
    follower.store.answer( make_batch( {}, 1 ) );
    reader.store.fail( core::error_code::timed_out );
    reader.scheduler.run( 150ms );
    reader.store.answer( make_batch( {}, 5 ) );
    follower.watch->apply_update( reader.updates.back(), "r" );
    CHECK( follower.takes_work( "a" ) );
    // The entry did not return to the reader in time.
    reader.scheduler.run( 3s );
    reader.store.answer( make_batch( {}, 6 ) );
    follower.watch->apply_update( reader.updates.back(), "r" );
    follower.scheduler.run( 3s );
    CHECK_FALSE( follower.takes_work( "a" ) );
}

TEST_CASE( "a removal is final if only this instance was cut off the store",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.scheduler.run( 1s );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    // The store served other instances all the time, so no entry has lapsed.
    f.others_served = 60s;
    f.store.answer( make_batch( {}, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a missing entry counts as removed once the return time is over",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 200ms );
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 4 ) );
    f.scheduler.run( 2s );
    f.store.answer( make_batch( { make_removal( "t/a", 5 ) }, 5 ) );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 400ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower without further updates drops a missing target",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.watch->set_reader( false );
    f.store.answer( make_batch( {}, 1 ) );
    f.watch->apply_update( { ports::store_revision( 1 ),
                             make_batch( { make_removal( "t/a", 2 ) }, 2 ),
                             true },
                           "reader" );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 2'400ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a lost connection of a watch is not an outage of the store",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::connection_lost );
    REQUIRE( f.store.lists == 2 );
    f.store.answer( make_batch( {}, 4 ) );
    // The store was never unavailable, so the entry was removed.
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "later updates do not extend the time of a missing target",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch(
        { make_record( "t/a", "ready", 1 ), make_record( "t/b", "ready", 1 ) },
        1 ) );
    f.watch->set_reader( false );
    f.store.answer( make_batch( {}, 1 ) );
    f.watch->apply_update( { ports::store_revision( 1 ),
                             make_batch( { make_removal( "t/a", 2 ) }, 2 ),
                             true },
                           "reader" );
    f.scheduler.run( 1'500ms );
    f.watch->apply_update(
        { ports::store_revision( 2 ),
          make_batch( { make_record( "t/b", "leaving", 3 ) }, 3 ), true },
        "reader" );
    CHECK( f.takes_work( "a" ) );
    f.scheduler.run( 900ms );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower drops a missing target once a removal is certain",
           "[registry][peers][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.watch->set_reader( false );
    f.store.answer( make_batch( {}, 1 ) );
    auto update = registry::record_update{
        ports::store_revision( 1 ),
        make_batch( { make_removal( "t/a", 2 ) }, 2 ), true };
    f.watch->apply_update( update, "was cut off" );
    CHECK( f.takes_work( "a" ) );
    update.lapse_possible = false;
    f.watch->apply_update( update, "was served all the time" );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a removal is final if others were served for the return time",
           "[registry][outage]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 1 ) );
    f.store.fail( core::error_code::timed_out );
    f.scheduler.run( 60s );
    // The others had an outage too, but it ended 6 s ago.
    f.others_served = 6s;
    f.store.answer( make_batch( { make_record( "t/a", "ready", 1 ) }, 4 ) );
    f.store.answer( make_batch( { make_removal( "t/a", 5 ) }, 5 ) );
    CHECK_FALSE( f.takes_work( "a" ) );
}

TEST_CASE( "a follower lists all records only once it becomes a reader",
           "[registry][store]" )
{
    auto f = watch_fixture{};
    f.store.answer( make_batch( {}, 1 ) );
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

namespace
{

/// A store whose list calls the test answers in any order.
class listed_store : public answered_store
{
public:
    auto list( std::string const&, ports::read_age, batch_done callback )
        -> void override
    {
        open.push_back( std::move( callback ) );
    }

    std::vector<batch_done> open;
};

struct first_list_fixture
{
    first_list_fixture()
    {
        auto events = registry::registry_events{};
        events.on_configuration = [this]( auto const& c )
        {
            version = c->version.count();
        };
        events.on_targets_changed = [] {};
        watch = std::make_unique<registry::registry_watch>(
            store, scheduler, codec, loads, log, std::move( events ) );
        watch->start();
    }

    held_scheduler scheduler;
    listed_store store;
    minimal_codec codec;
    exchange::load_table loads;
    recorded_events log;
    std::int64_t version{ 0 };
    std::unique_ptr<registry::registry_watch> watch;
};

}

TEST_CASE( "an instance without records does not wait for a call that hangs",
           "[registry]" )
{
    auto f = first_list_fixture{};
    f.scheduler.run( 300ms );
    REQUIRE( f.store.open.size() == 2 );
    SECTION( "the first answer counts, late ones are ignored" )
    {
        f.store.open[1]( make_batch( { make_record( "config", "2", 9 ) }, 9 ) );
        CHECK( f.version == 2 );
        CHECK( f.store.watches == 1 );
        f.store.open[0]( make_batch( { make_record( "config", "1", 4 ) }, 4 ) );
        CHECK( f.version == 2 );
        CHECK( f.store.watches == 1 );
        f.scheduler.run( 5s );
        CHECK( f.store.open.size() == 2 );
    }
    SECTION( "a call that fails leaves the others open" )
    {
        f.store.open[0]( core::error{ core::error_code::timed_out, "" } );
        f.store.open[1]( make_batch( { make_record( "config", "2", 9 ) }, 9 ) );
        CHECK( f.version == 2 );
    }
    SECTION( "calls that are refused are followed by a pause" )
    {
        f.store.open[1]( core::error{ core::error_code::refused, "" } );
        f.store.open[0]( core::error{ core::error_code::refused, "" } );
        CHECK( f.store.open.size() == 2 );
        f.scheduler.run( 150ms );
        CHECK( f.store.open.size() == 3 );
    }
    SECTION( "their number is bounded" )
    {
        f.scheduler.run( 30s );
        CHECK( f.store.open.size() == 6 );
    }
    SECTION( "an instance that follows others sends no more" )
    {
        f.watch->set_reader( false );
        f.scheduler.run( 30s );
        CHECK( f.store.open.size() == 2 );
    }
}

TEST_CASE( "changes that are too large for one reply are listed",
           "[registry][watch]" )
{
    auto f = registry_fixture{};
    auto const lists = f.store.lists;
    f.store.fail( core::error_code::malformed );
    CHECK( f.store.lists == lists + 1 );
    CHECK( f.watch->store_serves() );
    f.store.answer( { {}, ports::store_revision( 9 ) } );
    CHECK( f.watch->known_until() == ports::store_revision( 9 ) );
    CHECK( f.store.pending );
}

TEST_CASE( "records of other instances are kept within their memory",
           "[registry][watch]" )
{
    constexpr auto megabyte = std::size_t{ 1 } << 20U;
    auto const prefix = std::string( "pollenstream/instances/" );
    auto f = registry_fixture{};
    f.watch->set_max_record_bytes( 3 * megabyte );
    auto const send = [&]( std::string const& key, std::int64_t revision )
    {
        auto const at = ports::store_revision( revision );
        auto const value = std::string( megabyte, 'v' );
        return f.watch->apply_update( { f.watch->known_until(),
                                        { { { prefix + key, value, at } }, at },
                                        false },
                                      "other" );
    };
    CHECK( send( "a", 2 ) );
    CHECK( send( "b", 3 ) );
    // The same record again needs no more.
    CHECK( send( "b", 4 ) );
    CHECK_FALSE( send( "c", 5 ) );
    CHECK( f.watch->records_left_out() == 1 );
    CHECK( f.watch->known_until() == ports::store_revision( 4 ) );
    // The store's own records are kept, and count.
    f.revision = 10;
    f.write_record( prefix + "c", std::string( megabyte, 'v' ) );
    CHECK( f.watch->known_until() > ports::store_revision( 4 ) );
    CHECK_FALSE( send( "d", 100 ) );
    f.write_record( prefix + "a", std::nullopt );
    f.write_record( prefix + "c", std::nullopt );
    CHECK( send( "d", 101 ) );
}
