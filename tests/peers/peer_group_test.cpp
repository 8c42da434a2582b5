#include "support/exchange_fixture.hpp"
#include <pollenstream/peers/caller_directory.hpp>
#include <pollenstream/peers/compression.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace tests;
using namespace std::chrono_literals;
namespace peers = pollenstream::peers;

namespace
{

struct instance;

/// Datagrams between instances of one test; some addresses may be cut off.
struct small_network
{
    std::map<std::string, instance*> by_ip;
    std::set<std::string> silent;
};

class network_sender : public peers::datagram_sender
{
public:
    network_sender( small_network& network, std::string from )
        : network_( network ), from_( std::move( from ) )
    {
    }
    auto send( std::string const& ip, std::string const& bytes )
        -> void override;

private:
    small_network& network_;
    std::string from_;
};

struct instance
{
    instance( small_network& network,
              held_scheduler& scheduler,
              int number,
              std::vector<std::string> seeds,
              int incarnation = 1 )
        : ip( "10.0.0." + std::to_string( number ) ),
          name( "n" + std::to_string( number ) ), sender( network, ip ),
          group( { core::instance_id( name ), core::incarnation( incarnation ),
                   ip, core::place_id( "a" ), ip + ":80" },
                 std::move( seeds ),
                 scheduler,
                 sender,
                 board,
                 log )
    {
        network.by_ip[ip] = this;
        board.put( make_target( "m1", "model" ) );
    }
    auto load() const -> std::int64_t
    {
        return board.find( core::target_id( "m1" ) )->load.requests;
    }

    std::string ip;
    std::string name;
    network_sender sender;
    exchange::target_board board;
    recorded_events log;
    peers::peer_group group;
};

auto network_sender::send( std::string const& ip, std::string const& bytes )
    -> void
{
    auto const to = network_.by_ip.find( ip );
    if ( to == network_.by_ip.end() || network_.silent.count( ip ) != 0 ||
         network_.silent.count( from_ ) != 0 )
        return;
    to->second->group.on_datagram( bytes );
}

/// Some instances that know one of them at the start.
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
    /// All tell the same time since the store answered them.
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
    small_network network;
    std::vector<std::unique_ptr<instance>> all;
};

auto some_work( std::uint64_t serial ) -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = serial;
    work.parts = { { core::target_id( "m1" ), 20, 6'000 } };
    work.context_tokens = 5'000;
    work.tolerated_gap_ms = 200;
    return work;
}

auto addresses_at( instance const& one ) -> std::vector<std::string>
{
    return peers::choose_caller_addresses( one.group, one.ip + ":80", true );
}

}

TEST_CASE( "instances that know one of them find each other", "[peers]" )
{
    auto fleet = small_fleet( 9 );
    for ( auto const& one : fleet.all )
        CHECK( one->group.size() == 9 );
    CHECK( addresses_at( *fleet.all[4] ).size() == 9 );
}

TEST_CASE( "open work is known to all within some milliseconds", "[peers]" )
{
    auto fleet = small_fleet( 4 );
    auto const work = some_work( 1 );
    auto& first = *fleet.all[0];
    first.board.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    for ( auto const& one : fleet.all )
        CHECK( one->load() == 1 );
    first.board.end_work( core::instance_id( "n1" ), 1, fleet.scheduler.now() );
    first.group.work_ended( 1 );
    fleet.scheduler.run( 10ms );
    for ( auto const& one : fleet.all )
        CHECK( one->load() == 0 );
}

TEST_CASE( "a lost datagram is made good by the next complete message",
           "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = some_work( 1 );
    first.board.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    fleet.network.silent.insert( first.ip );
    first.board.end_work( core::instance_id( "n1" ), 1, fleet.scheduler.now() );
    first.group.work_ended( 1 );
    fleet.scheduler.run( 10ms );
    CHECK( fleet.all[1]->load() == 1 );
    fleet.network.silent.clear();
    fleet.scheduler.run( 300ms );
    CHECK( fleet.all[1]->load() == 0 );
}

TEST_CASE( "the work of an instance that has died is forgotten", "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = some_work( 1 );
    first.board.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 10ms );
    fleet.network.silent.insert( first.ip );
    fleet.scheduler.run( 3s );
    CHECK( fleet.all[1]->load() == 0 );
    CHECK( addresses_at( *fleet.all[1] ).size() == 2 );
}

TEST_CASE( "an instance that is about to stop is no longer told to callers",
           "[peers][stop]" )
{
    auto fleet = small_fleet( 3 );
    fleet.all[0]->group.announce_leaving();
    CHECK( addresses_at( *fleet.all[1] ).size() == 2 );
    // Also where the first datagrams are lost.
    fleet.network.silent.insert( fleet.all[2]->ip );
    fleet.all[1]->group.announce_leaving();
    fleet.network.silent.clear();
    fleet.scheduler.run( 150ms );
    CHECK( addresses_at( *fleet.all[2] ).size() == 1 );
}

TEST_CASE( "messages of a former process count for nothing", "[peers]" )
{
    auto fleet = small_fleet( 2 );
    auto& old = *fleet.all[0];
    auto const work = some_work( 1 );
    old.board.add_work( core::instance_id( "n1" ), work,
                        fleet.scheduler.now() );
    old.group.work_began( work );
    fleet.scheduler.run( 10ms );
    CHECK( fleet.all[1]->load() == 1 );
    auto restarted =
        instance( fleet.network, fleet.scheduler, 1, { "10.0.0.2" }, 2 );
    restarted.group.start();
    fleet.scheduler.run( 50ms );
    CHECK( fleet.all[1]->load() == 0 );
    old.group.work_began( some_work( 2 ) );
    fleet.scheduler.run( 50ms );
    CHECK( fleet.all[1]->load() == 0 );
}

TEST_CASE( "few instances read the store, and others where these get nothing",
           "[peers][store]" )
{
    auto fleet = small_fleet( 9 );
    fleet.run( 1s, 100ms );
    CHECK( fleet.readers() == 3 );
    // The readers are cut off; within two seconds others read.
    for ( auto const& one : fleet.all )
        if ( one->group.should_read_store() )
            fleet.network.silent.insert( one->ip );
    auto const cut = fleet.network.silent;
    REQUIRE( cut.size() == 3 );
    for ( auto i = 0; i < 19; ++i )
    {
        for ( auto const& one : fleet.all )
            if ( cut.count( one->ip ) == 0 )
                one->group.set_store_state( ports::store_revision( 1 ),
                                            10s + i * 100ms, 0ms );
        fleet.scheduler.run( 100ms );
    }
    auto reading = 0;
    for ( auto const& one : fleet.all )
        if ( cut.count( one->ip ) == 0 && one->group.should_read_store() )
            ++reading;
    CHECK( reading >= 1 );
}

TEST_CASE( "a better informed instance is named", "[peers][store]" )
{
    auto fleet = small_fleet( 3 );
    fleet.all[1]->group.set_store_state( ports::store_revision( 9 ), 0ms, 0ms );
    fleet.scheduler.run( 300ms );
    auto const* best =
        fleet.all[0]->group.better_informed( ports::store_revision( 1 ) );
    REQUIRE( best != nullptr );
    CHECK( best->id == core::instance_id( "n2" ) );
    CHECK( fleet.all[0]->group.better_informed( ports::store_revision( 9 ) ) ==
           nullptr );
}

TEST_CASE( "spoiled datagrams are passed over", "[peers][input]" )
{
    auto message = peers::peer_message{};
    message.sender = core::instance_id( "n9" );
    message.work.push_back( some_work( 3 ) );
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
        // Whatever it is, it is an error or a message, and nothing else.
        static_cast<void>( peers::decode( bytes ) );
    }
    CHECK( peers::decode( "" ).has_error() );
}

TEST_CASE( "packed bytes come back, and too many are refused",
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

TEST_CASE( "those who are behind ask different instances", "[peers][store]" )
{
    auto fleet = small_fleet( 9 );
    for ( auto i = 1; i < 9; ++i )
        fleet.all[static_cast<std::size_t>( i )]->group.set_store_state(
            ports::store_revision( 9 ), 0ms, 0ms );
    fleet.scheduler.run( 300ms );
    auto asked = std::set<std::string>{};
    for ( auto i = 0; i < 20; ++i )
        asked.insert( fleet.all[0]
                          ->group.better_informed( ports::store_revision( 1 ) )
                          ->id.str() );
    CHECK( asked.size() >= 5 );
}

TEST_CASE( "changes of records come over whole", "[peers][store]" )
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
    CHECK( peers::requested_revision( peers::state_request(
               ports::store_revision( 41 ) ) ) == ports::store_revision( 41 ) );
    CHECK( peers::requested_revision( "/v1/records" ) ==
           ports::store_revision( 0 ) );
    CHECK( peers::decode_update( "garbage" ).has_error() );
}

TEST_CASE( "an instance that has just started hears of all open work at once",
           "[peers]" )
{
    auto fleet = small_fleet( 3 );
    auto& first = *fleet.all[0];
    auto const work = some_work( 1 );
    first.board.add_work( core::instance_id( "n1" ), work,
                          fleet.scheduler.now() );
    first.group.work_began( work );
    fleet.scheduler.run( 20ms );
    // A new process in place of the third, before anybody's next beat.
    auto fresh =
        instance( fleet.network, fleet.scheduler, 3, { "10.0.0.1" }, 2 );
    CHECK( fresh.load() == 0 );
    fresh.group.start();
    fleet.scheduler.run( 5ms );
    CHECK( fresh.load() == 1 );
}
