#include "support/exchange_fixture.hpp"
#include <pollenstream/peers/caller_directory.hpp>
#include <pollenstream/peers/compression.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

struct instance;

/// Delivers datagrams between the instances of one test, except from and to
/// unreachable addresses.
struct simulated_network
{
    /// Delivers the datagram after all that were sent before it.
    auto send( std::string const& from,
               std::string const& to,
               std::string bytes ) -> void;

    std::map<std::string, instance*> by_ip;
    std::set<std::string> unreachable;

private:
    struct datagram
    {
        std::string from;
        std::string to;
        std::string bytes;
    };
    std::deque<datagram> queue_;
    bool delivering_{ false };
};

class network_sender : public peers::datagram_sender
{
public:
    network_sender( simulated_network& network, std::string from )
        : network_( network ), from_( std::move( from ) )
    {
    }
    auto send( std::string const& ip, std::string const& bytes )
        -> void override;

private:
    simulated_network& network_;
    std::string from_;
};

struct instance
{
    instance( simulated_network& network,
              held_scheduler& scheduler,
              int number,
              std::vector<std::string> seeds,
              int incarnation = 1 )
        : ip( "10.0.0." + std::to_string( number ) ),
          name( "n" + std::to_string( number ) ), sender( network, ip ),
          group( { core::instance_id( name ), core::incarnation( incarnation ),
                   ip, core::data_centre_id( "a" ), ip + ":80", 250 },
                 std::move( seeds ),
                 scheduler,
                 sender,
                 loads,
                 crashes,
                 log )
    {
        network.by_ip[ip] = this;
        loads.put( make_target( "m1", "model" ) );
    }
    auto is_coordinator() const -> bool
    {
        auto const all = group.coordinators();
        return std::find( all.begin(), all.end(), core::instance_id( name ) ) !=
               all.end();
    }
    auto load() const -> std::int64_t
    {
        return loads.find( core::target_id( "m1" ) )->load.requests;
    }

    std::string ip;
    std::string name;
    network_sender sender;
    exchange::load_table loads;
    exchange::crash_history crashes{ 6s };
    recorded_events log;
    peers::peer_group group;
};

auto network_sender::send( std::string const& ip, std::string const& bytes )
    -> void
{
    network_.send( from_, ip, bytes );
}

auto simulated_network::send( std::string const& from,
                              std::string const& to,
                              std::string bytes ) -> void
{
    if ( unreachable.count( to ) != 0 || unreachable.count( from ) != 0 )
        return;
    queue_.push_back( { from, to, std::move( bytes ) } );
    if ( std::exchange( delivering_, true ) )
        return;
    while ( !queue_.empty() )
    {
        auto const next = std::move( queue_.front() );
        queue_.pop_front();
        auto const receiver = by_ip.find( next.to );
        if ( receiver != by_ip.end() )
            receiver->second->group.on_datagram( next.bytes, next.from );
    }
    delivering_ = false;
}

/// Instances that know only the address of the first one at the start.
struct small_fleet
{
    explicit small_fleet( int count )
    {
        for ( auto i = 1; i <= count; ++i )
            all.push_back( std::make_unique<instance>(
                network, scheduler, i,
                std::vector<std::string>{ "10.0.0.1" } ) );
        for ( auto const& one : all )
        {
            one->group.start();
            one->group.set_ready( true );
            one->group.set_store_state( ports::store_revision( 1 ), 0ms, 0ms );
        }
        scheduler.run( 2s );
    }
    /// Runs while the store last answered every instance `store_age` ago.
    auto run( core::duration time, core::duration store_age ) -> void
    {
        for ( auto t = core::duration( 0 ); t < time; t += 100ms )
        {
            for ( auto const& one : all )
                one->group.set_store_state( ports::store_revision( 1 ),
                                            store_age, 0ms );
            scheduler.run( 100ms );
        }
    }
    auto any_non_coordinator() const -> instance&
    {
        auto const found = std::find_if( all.begin(), all.end(),
                                         []( auto const& one )
                                         {
                                             return !one->is_coordinator();
                                         } );
        REQUIRE( found != all.end() );
        return **found;
    }
    auto keepers() const -> std::vector<instance*>
    {
        auto found = std::vector<instance*>{};
        for ( auto const& one : all )
            if ( one && one->group.keeps_records() )
                found.push_back( one.get() );
        return found;
    }
    auto readers() const -> int
    {
        return static_cast<int>(
            std::count_if( all.begin(), all.end(),
                           []( auto const& one )
                           {
                               return one->group.should_read_store();
                           } ) );
    }

    held_scheduler scheduler;
    simulated_network network;
    std::vector<std::unique_ptr<instance>> all;
};

auto make_work( std::uint64_t serial ) -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = serial;
    work.parts = { { core::target_id( "m1" ), 20, 6'000 } };
    work.context_tokens = 5'000;
    work.tolerated_gap_ms = 200;
    return work;
}

auto directory_of( instance const& one ) -> std::vector<std::string>
{
    return peers::choose_caller_addresses( one.group, one.ip + ":80", true );
}

}

TEST_CASE( "instances that share a seed address discover each other",
           "[peers]" )
{
    auto fleet = small_fleet( 9 );
    for ( auto const& one : fleet.all )
        CHECK( one->group.size() == 9 );
    CHECK( directory_of( *fleet.all[4] ).size() == 9 );
}

TEST_CASE( "open work reaches the coordinators within milliseconds", "[peers]" )
{
    auto fleet = small_fleet( 9 );
    auto const coordinators = fleet.all[0]->group.coordinators();
    REQUIRE( coordinators.size() == 3 );
    auto const load_by_role = [&]( std::string const& except )
    {
        auto loads = std::map<bool, int>{};
        for ( auto const& one : fleet.all )
            if ( one->name != except )
                loads[one->is_coordinator()] += static_cast<int>( one->load() );
        return loads;
    };
    auto const work = make_work( 1 );
    auto& first = fleet.any_non_coordinator();
    first.loads.add_work( core::instance_id( first.name ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    // Only the coordinators are informed.
    CHECK( load_by_role( first.name ) ==
           std::map<bool, int>{ { true, 3 }, { false, 0 } } );
    first.loads.end_work( core::instance_id( first.name ), 1,
                          fleet.scheduler.now() );
    first.group.work_ended( 1, exchange::work_outcome::served );
    fleet.scheduler.run( 10ms );
    CHECK( load_by_role( first.name ) ==
           std::map<bool, int>{ { true, 0 }, { false, 0 } } );
}

TEST_CASE( "the next complete message repairs the loss of a datagram",
           "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = make_work( 1 );
    first.loads.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    fleet.network.unreachable.insert( first.ip );
    first.loads.end_work( core::instance_id( "n1" ), 1, fleet.scheduler.now() );
    first.group.work_ended( 1, exchange::work_outcome::served );
    fleet.scheduler.run( 10ms );
    CHECK( fleet.all[1]->load() == 1 );
    fleet.network.unreachable.clear();
    fleet.scheduler.run( 300ms );
    CHECK( fleet.all[1]->load() == 0 );
}

TEST_CASE( "the open work of a lost instance is removed", "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = make_work( 1 );
    first.loads.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    fleet.network.unreachable.insert( first.ip );
    fleet.scheduler.run( 3s );
    CHECK( fleet.all[1]->load() == 0 );
    CHECK( directory_of( *fleet.all[1] ).size() == 2 );
}

TEST_CASE( "the directory does not list an instance that is leaving",
           "[peers][stop]" )
{
    auto fleet = small_fleet( 3 );
    fleet.all[0]->group.announce_leaving();
    CHECK( directory_of( *fleet.all[1] ).size() == 2 );
    // The announcement is repeated, so that this also holds if the first
    // datagrams are lost.
    fleet.network.unreachable.insert( fleet.all[2]->ip );
    fleet.all[1]->group.announce_leaving();
    fleet.network.unreachable.clear();
    fleet.scheduler.run( 150ms );
    CHECK( directory_of( *fleet.all[2] ).size() == 1 );
}

TEST_CASE( "messages of an earlier process of an instance are ignored",
           "[peers]" )
{
    auto fleet = small_fleet( 2 );
    auto& old = *fleet.all[0];
    auto const work = make_work( 1 );
    old.loads.add_work( core::instance_id( "n1" ), work,
                        fleet.scheduler.now() );
    old.group.work_began( work );
    fleet.scheduler.run( 10ms );
    CHECK( fleet.all[1]->load() == 1 );
    auto restarted =
        instance( fleet.network, fleet.scheduler, 1, { "10.0.0.2" }, 2 );
    restarted.group.start();
    fleet.scheduler.run( 50ms );
    CHECK( fleet.all[1]->load() == 0 );
    old.group.work_began( make_work( 2 ) );
    fleet.scheduler.run( 50ms );
    CHECK( fleet.all[1]->load() == 0 );
}

TEST_CASE(
    "the coordinators read the store, and others if it does not answer these",
    "[peers][store]" )
{
    auto fleet = small_fleet( 9 );
    fleet.run( 1s, 100ms );
    CHECK( fleet.readers() == 3 );
    // The readers are cut off. Another instance reads within two seconds.
    for ( auto const& one : fleet.all )
        if ( one->group.should_read_store() )
            fleet.network.unreachable.insert( one->ip );
    auto const cut_off = fleet.network.unreachable;
    REQUIRE( cut_off.size() == 3 );
    for ( auto i = 0; i < 19; ++i )
    {
        for ( auto const& one : fleet.all )
            if ( cut_off.count( one->ip ) == 0 )
                one->group.set_store_state( ports::store_revision( 1 ),
                                            10s + i * 100ms, 0ms );
        fleet.scheduler.run( 100ms );
    }
    auto other_readers = 0;
    for ( auto const& one : fleet.all )
        if ( cut_off.count( one->ip ) == 0 && one->group.should_read_store() )
            ++other_readers;
    CHECK( other_readers >= 1 );
}

TEST_CASE( "a peer with a later revision of the store is found",
           "[peers][store]" )
{
    auto fleet = small_fleet( 3 );
    fleet.all[1]->group.set_store_state( ports::store_revision( 9 ), 0ms, 0ms );
    fleet.scheduler.run( 300ms );
    auto const* best =
        fleet.all[0]->group.better_informed_peer( ports::store_revision( 1 ) );
    REQUIRE( best != nullptr );
    CHECK( best->id == core::instance_id( "n2" ) );
    CHECK( fleet.all[0]->group.better_informed_peer(
               ports::store_revision( 9 ) ) == nullptr );
}

TEST_CASE( "damaged datagrams are decoded to an error or a message",
           "[peers][input]" )
{
    auto message = peers::peer_message{};
    message.sender = core::instance_id( "n9" );
    message.work.push_back( make_work( 3 ) );
    message.update = "bytes";
    auto const good = peers::encode( message );
    REQUIRE( peers::decode( good ).has_value() );
    CHECK( peers::decode( good ).value().update == "bytes" );
    auto random = std::minstd_rand( 5 );
    for ( auto i = 0; i < 5'000; ++i )
    {
        auto bytes = good;
        auto const cut = std::uniform_int_distribution<std::size_t>(
            0, bytes.size() )( random );
        if ( i % 2 == 0 )
            bytes.resize( cut );
        else if ( cut < bytes.size() )
            bytes[cut] = static_cast<char>( random() );
        // The result may be an error or a message; decoding must not crash.
        static_cast<void>( peers::decode( bytes ) );
    }
    CHECK( peers::decode( "" ).has_error() );
}

TEST_CASE( "compressed data is restored, and too large output is refused",
           "[peers][input]" )
{
    auto const text = std::string( 300'000, 'x' ) + "end";
    auto const packed = peers::compress( text );
    CHECK( packed.size() < 10'000 );
    REQUIRE( peers::decompress( packed, 1'000'000 ).has_value() );
    CHECK( peers::decompress( packed, 1'000'000 ).value() == text );
    CHECK( peers::decompress( packed, 1'000 ).has_error() );
    CHECK( peers::decompress( packed.substr( 0, 50 ), 1'000'000 ).has_error() );
    CHECK( peers::decompress( "", 1'000 ).has_error() );
}

TEST_CASE( "an instance that is behind chooses different peers to fetch from",
           "[peers][store]" )
{
    auto fleet = small_fleet( 9 );
    for ( auto i = 1; i < 9; ++i )
        fleet.all[static_cast<std::size_t>( i )]->group.set_store_state(
            ports::store_revision( 9 ), 0ms, 0ms );
    fleet.scheduler.run( 300ms );
    auto asked = std::set<std::string>{};
    for ( auto i = 0; i < 20; ++i )
        asked.insert(
            fleet.all[0]
                ->group.better_informed_peer( ports::store_revision( 1 ) )
                ->id.str() );
    CHECK( asked.size() >= 5 );
}

TEST_CASE( "an update of records is the same after encoding and decoding",
           "[peers][store]" )
{
    auto update = pollenstream::registry::record_update{};
    update.from = ports::store_revision( 3 );
    update.batch.at = ports::store_revision( 7 );
    update.lapse_possible = true;
    update.batch.records = {
        { "a", std::string( "\0\xff", 2 ), ports::store_revision( 5 ) },
        { "b", std::nullopt, ports::store_revision( 7 ) } };
    auto const read = peers::decode_update( peers::encode_update( update ) );
    REQUIRE( read.has_value() );
    CHECK( read.value().from == update.from );
    CHECK( read.value().batch.at == update.batch.at );
    CHECK( read.value().lapse_possible );
    REQUIRE( read.value().batch.records.size() == 2 );
    CHECK( read.value().batch.records[0].value == std::string( "\0\xff", 2 ) );
    CHECK_FALSE( read.value().batch.records[1].value );
    CHECK( peers::requested_revision( peers::state_request_path(
               ports::store_revision( 41 ) ) ) == ports::store_revision( 41 ) );
    CHECK( peers::requested_revision( "/v1/records" ) ==
           ports::store_revision( 0 ) );
    CHECK( peers::decode_update( "garbage" ).has_error() );
}

TEST_CASE( "an instance that has just started receives all open work at once",
           "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = make_work( 1 );
    first.loads.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 20ms );
    // A new process in place of the third, before the next heartbeat.
    auto started =
        instance( fleet.network, fleet.scheduler, 3, { "10.0.0.1" }, 2 );
    CHECK( started.load() == 0 );
    started.group.start();
    fleet.scheduler.run( 5ms );
    CHECK( started.load() == 1 );
}

TEST_CASE( "all instances agree on the coordinators, also after one is lost",
           "[peers][coordinator]" )
{
    auto fleet = small_fleet( 9 );
    auto const before = fleet.all[0]->group.coordinators();
    for ( auto const& one : fleet.all )
        CHECK( one->group.coordinators() == before );
    for ( auto const& one : fleet.all )
        if ( core::instance_id( one->name ) == before[0] )
            fleet.network.unreachable.insert( one->ip );
    fleet.scheduler.run( 1500ms );
    auto after = std::set<std::vector<core::instance_id>>{};
    for ( auto const& one : fleet.all )
        if ( fleet.network.unreachable.count( one->ip ) == 0 )
            after.insert( one->group.coordinators() );
    REQUIRE( after.size() == 1 );
    CHECK( after.begin()->at( 0 ) == before[1] );
    CHECK( after.begin()->at( 1 ) == before[2] );
}

TEST_CASE(
    "an instance that has just started comes after the coordinators that "
    "know of open work",
    "[peers][coordinator]" )
{
    auto fleet = small_fleet( 5 );
    auto const before = fleet.all[0]->group.coordinators();
    auto const number = std::stoi( before[0].str().substr( 1 ) );
    auto restarted = instance( fleet.network, fleet.scheduler, number,
                               { "10.0.0.1", "10.0.0.2" }, 2 );
    restarted.group.start();
    fleet.scheduler.run( 100ms );
    for ( auto const& one : fleet.all )
        if ( one->name != restarted.name )
            CHECK( one->group.coordinators()[0] == before[1] );
    fleet.scheduler.run( 1500ms );
    for ( auto const& one : fleet.all )
        if ( one->name != restarted.name )
            CHECK( one->group.coordinators()[0] == before[0] );
}

TEST_CASE( "a new coordinator is sent all open work", "[peers][coordinator]" )
{
    auto fleet = small_fleet( 9 );
    auto const before = fleet.all[0]->group.coordinators();
    auto& owner = fleet.any_non_coordinator();
    auto const work = make_work( 1 );
    owner.loads.add_work( core::instance_id( owner.name ), work,
                          fleet.scheduler.now() );
    owner.group.work_began( work );
    fleet.scheduler.run( 20ms );
    // Two of the three coordinators are lost at once.
    for ( auto const& one : fleet.all )
        if ( core::instance_id( one->name ) == before[0] ||
             core::instance_id( one->name ) == before[1] )
            fleet.network.unreachable.insert( one->ip );
    fleet.scheduler.run( 2s );
    for ( auto const& one : fleet.all )
        if ( fleet.network.unreachable.count( one->ip ) == 0 &&
             one->is_coordinator() )
            CHECK( one->load() == 1 );
}

/// Average bytes per second that an instance sends while there are no requests.
static auto idle_bytes_per_second( int instances ) -> double
{
    auto fleet = small_fleet( instances );
    fleet.scheduler.run( 5s );
    auto const sum = [&fleet]
    {
        auto bytes = 0.0;
        for ( auto const& one : fleet.all )
            bytes += static_cast<double>( one->group.sent().bytes.value() );
        return bytes;
    };
    auto const before = sum();
    fleet.scheduler.run( 10s );
    return ( sum() - before ) / 10 / instances;
}

/// Guards against sending all open work and heartbeats to every instance, which
/// takes 66 kB a second at each of 295 instances. They go to the three
/// coordinators, and to the other instances only in turn.
TEST_CASE( "what an instance sends does not grow with the number of instances",
           "[peers][benchmark]" )
{
    auto const few = idle_bytes_per_second( 20 );
    auto const many = idle_bytes_per_second( 80 );
    CAPTURE( few, many );
    CHECK( many < few * 1.25 );
    CHECK( many < 3'000 );
}

TEST_CASE(
    "an instance that has just started waits to learn who reads the store",
    "[peers][store]" )
{
    auto scheduler = held_scheduler{};
    auto network = simulated_network{};
    auto one = instance( network, scheduler, 1, {} );
    one.group.start();
    // Without records it reads the store as soon as no peer has answered.
    CHECK_FALSE( one.group.should_read_store() );
    scheduler.run( 50ms );
    CHECK( one.group.should_read_store() );
    one.group.set_store_state( ports::store_revision( 5 ), 0ms, 0ms );
    CHECK_FALSE( one.group.should_read_store() );
    scheduler.run( 400ms );
    CHECK( one.group.should_read_store() );
}

TEST_CASE( "while the store is unreachable for all, only some instances try it",
           "[peers][store]" )
{
    auto fleet = small_fleet( 60 );
    fleet.run( 1s, 100ms );
    CHECK( fleet.readers() == 3 );
    for ( auto age = core::duration( 0 ); age < 3s; age += 100ms )
        fleet.run( 100ms, age );
    // More than the coordinators, but not all, have started to try the store.
    CHECK( fleet.readers() >= 8 );
    CHECK( fleet.readers() <= 20 );
}

TEST_CASE( "one instance keeps the records of all in the store",
           "[peers][store]" )
{
    auto fleet = small_fleet( 60 );
    fleet.run( 3s, 100ms );
    REQUIRE( fleet.keepers().size() == 1 );
    auto* const keeper = fleet.keepers().front();
    CHECK( keeper->group.instance_ips().size() == 60 );
    SECTION( "another one does after its loss" )
    {
        fleet.network.unreachable.insert( keeper->ip );
        fleet.run( 6s, 100ms );
        auto others = fleet.keepers();
        std::erase( others, keeper );
        REQUIRE( others.size() == 1 );
        CHECK( others.front()->group.instance_ips().size() == 60 );
        fleet.run( 40s, 100ms );
        CHECK( others.front()->group.instance_ips().size() == 59 );
    }
    SECTION( "another one does after its leaving" )
    {
        keeper->group.announce_leaving();
        fleet.run( 3s, 100ms );
        REQUIRE( fleet.keepers().size() == 1 );
        CHECK( fleet.keepers().front() != keeper );
        CHECK( fleet.keepers().front()->group.instance_ips().size() == 59 );
    }
    SECTION( "another one does while the store does not serve it" )
    {
        for ( auto t = core::duration( 0 ); t < 6s; t += 100ms )
        {
            for ( auto const& one : fleet.all )
                one->group.set_store_state(
                    ports::store_revision( 1 ),
                    one.get() == keeper ? t + 100ms : 100ms, 0ms );
            fleet.scheduler.run( 100ms );
        }
        REQUIRE( fleet.keepers().size() == 1 );
        CHECK( fleet.keepers().front() != keeper );
    }
    SECTION( "none does while the store serves nobody" )
    {
        fleet.run( 3s, 2s );
        CHECK( fleet.keepers().empty() );
    }
}

TEST_CASE( "an instance that finds no other keeps its own record",
           "[peers][store]" )
{
    auto scheduler = held_scheduler{};
    auto network = simulated_network{};
    auto one = instance( network, scheduler, 1, { "10.0.0.9" } );
    one.group.start();
    scheduler.run( 5s );
    CHECK( one.group.keeps_records() );
    CHECK( one.group.instance_ips().size() == 1 );
}

TEST_CASE( "of many instances that start together only three read the store",
           "[peers][store]" )
{
    auto scheduler = held_scheduler{};
    auto network = simulated_network{};
    auto all = std::vector<std::unique_ptr<instance>>{};
    for ( auto i = 1; i <= 60; ++i )
        all.push_back( std::make_unique<instance>(
            network, scheduler, i,
            std::vector<std::string>{ "10.0.0.1", "10.0.0.2" } ) );
    for ( auto const& one : all )
    {
        // The store has not answered any of them yet.
        one->group.set_store_state( ports::store_revision{}, 1'000s, 0ms );
        one->group.start();
    }
    auto asking = std::set<std::string>{};
    for ( auto t = core::duration( 0 ); t < 1s; t += 10ms )
    {
        scheduler.run( 10ms );
        for ( auto const& one : all )
            if ( one->group.should_read_store() )
                asking.insert( one->name );
    }
    CHECK( asking.size() == 3 );
    SECTION( "and more follow if it does not answer these" )
    {
        scheduler.run( 1s );
        auto const more =
            std::count_if( all.begin(), all.end(),
                           []( auto const& one )
                           {
                               return one->group.should_read_store();
                           } );
        CHECK( more > 3 );
    }
}

TEST_CASE(
    "an instance that starts beside others fetches the records from them",
    "[peers][store]" )
{
    auto fleet = small_fleet( 9 );
    auto started =
        instance( fleet.network, fleet.scheduler, 10, { "10.0.0.1" } );
    started.group.start();
    fleet.scheduler.run( 10ms );
    CHECK( started.group.better_informed_peer( ports::store_revision{} ) !=
           nullptr );
    for ( auto i = 0; i < 100; ++i )
    {
        fleet.run( 10ms, 10ms );
        CHECK_FALSE( started.group.should_read_store() );
    }
}

TEST_CASE( "quarantined content is known to all instances, also to later ones",
           "[peers][crash]" )
{
    auto fleet = small_fleet( 6 );
    auto const content = exchange::suspect_list{
        exchange::suspect_of( exchange::content_id( 7 ) ) };
    auto const count_quarantined = [&]
    {
        return std::count_if( fleet.all.begin(), fleet.all.end(),
                              [content]( auto const& one )
                              {
                                  return one->crashes.is_quarantined( content );
                              } );
    };
    for ( auto const& one : fleet.all )
        one->crashes.on_confirmation_needed = [&one]( auto const& last )
        {
            one->crashes.note_ended( last );
        };
    // Each of three instances has seen one crash, and none of them all three.
    for ( auto i = std::size_t{ 0 }; i < 3; ++i )
    {
        auto& one = *fleet.all[i];
        auto const what = exchange::crashed_run{
            content, core::target_id( "x" + std::to_string( i ) ),
            fleet.scheduler.now() };
        one.crashes.note_crash( what );
        one.group.run_crashed( what );
    }
    fleet.scheduler.run( 1s );
    CHECK( count_quarantined() == 6 );

    auto late = instance( fleet.network, fleet.scheduler, 9, { "10.0.0.1" } );
    late.group.start();
    fleet.scheduler.run( 1s );
    CHECK( late.crashes.is_quarantined( content ) );

    // A trial is known to all instances.
    fleet.all[0]->crashes.begin_trial( content, fleet.scheduler.now() );
    fleet.scheduler.run( 1s );
    for ( auto const& one : fleet.all )
        CHECK( one->crashes.quarantined().at( 0 ).trials.step() == 1 );

    // A run of the content is served, which lifts the quarantine everywhere.
    auto& any = *fleet.all[4];
    any.crashes.note_served( content, fleet.scheduler.now() );
    any.group.suspects_served( content, true );
    fleet.scheduler.run( 1s );
    CHECK( count_quarantined() == 0 );
    CHECK_FALSE( late.crashes.is_quarantined( content ) );
}

TEST_CASE( "coordinators learn of a crash although the first datagram is lost",
           "[peers][crash]" )
{
    auto fleet = small_fleet( 6 );
    auto const content = exchange::suspect_of( exchange::content_id( 7 ) );
    auto* seen_by = static_cast<instance*>( nullptr );
    for ( auto const& one : fleet.all )
        if ( !one->is_coordinator() )
            seen_by = one.get();
    REQUIRE( seen_by != nullptr );
    fleet.network.unreachable.insert( seen_by->ip );
    seen_by->group.run_crashed(
        { { content }, core::target_id( "x" ), fleet.scheduler.now() } );
    fleet.scheduler.run( 100ms );
    fleet.network.unreachable.clear();
    fleet.scheduler.run( 600ms );
    for ( auto const& one : fleet.all )
        if ( one->is_coordinator() )
            CHECK( one->crashes.count( content ) == 1 );
}

TEST_CASE( "an instance that misses the report of a silent one learns it soon",
           "[peers]" )
{
    auto fleet = small_fleet( 30 );
    auto others = std::vector<instance*>{};
    for ( auto const& one : fleet.all )
        if ( !one->is_coordinator() )
            others.push_back( one.get() );
    auto const lost = core::instance_id( others.at( 0 )->name );
    auto& cut = *others.at( 1 );
    fleet.network.unreachable.insert( others.at( 0 )->ip );
    fleet.scheduler.run( 600ms );
    fleet.network.unreachable.insert( cut.ip );
    fleet.scheduler.run( 900ms );
    fleet.network.unreachable.erase( cut.ip );
    fleet.scheduler.run( 2s );
    CHECK_FALSE( cut.group.peers().at( lost ).alive );
    for ( auto const& one : fleet.all )
        if ( one->ip != others.at( 0 )->ip )
            CHECK( one->group.peers().size() == 29 );
}

TEST_CASE( "an instance that hears another itself does not take it for silent",
           "[peers]" )
{
    auto fleet = small_fleet( 6 );
    auto& one = *fleet.all[3];
    auto const other = core::instance_id( fleet.all[4]->name );
    auto report = peers::peer_message{};
    report.sender = core::instance_id( fleet.all[1]->name );
    report.incarnation = core::incarnation( 1 );
    report.ip = fleet.all[1]->ip;
    auto const unheard_ms = GENERATE( 900, 5'000 );
    report.silent = { { other, core::incarnation( 1 ), unheard_ms } };
    fleet.network.unreachable.insert( fleet.all[4]->ip );
    fleet.scheduler.run( 700ms );
    REQUIRE( one.group.peers().at( other ).alive );
    one.group.on_datagram( peers::encode( report ), report.ip );
    CHECK( one.group.peers().at( other ).alive == ( unheard_ms == 5'000 ) );
}
