#include <pollenstream/peers/address_memory.hpp>
#include <pollenstream/peers/peer_limits.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/peers/peer_table.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace core = pollenstream::core;
namespace peers = pollenstream::peers;
using namespace std::chrono_literals;

// Guards against datagrams of instances that do not exist: whoever reaches the
// port can name any.

namespace
{

using peers::message_path;

constexpr auto newcomers = 10;

auto message_at( std::string const& id, std::string const& ip )
    -> peers::peer_message
{
    auto message = peers::peer_message{};
    message.sender = core::instance_id( id );
    message.incarnation = core::incarnation( 1 );
    message.ip = ip;
    message.data_centre = core::data_centre_id( "hall" );
    message.callers = "192.0.2.1:80";
    return message;
}

auto message_of( std::string const& id ) -> peers::peer_message
{
    return message_at( id, "192.0.2.1" );
}

struct table_fixture
{
    auto apply( peers::peer_message const& message, message_path path )
        -> peers::peer_change
    {
        return table.apply_message( message, path, now );
    }
    auto fill( std::size_t count, message_path path ) -> void
    {
        for ( auto i = std::size_t{ 0 }; i < count; ++i )
            CHECK( apply( message_of( std::to_string( i ) ), path ).is_new );
    }
    [[nodiscard]] auto knows( std::string const& id ) const -> bool
    {
        return table.find( core::instance_id( id ) ) != nullptr;
    }

    core::instant now{ 1h };
    peers::peer_table table{ peers::own_state{ core::instance_id( "self" ) },
                             now };
};

auto is_accepted( peers::peer_message const& message ) -> bool
{
    return peers::decode( peers::encode( message ) ).has_value();
}

}

TEST_CASE( "a datagram with names longer than any instance's is malformed",
           "[peers][forged]" )
{
    CHECK( is_accepted( message_of( "gateway-1" ) ) );
    auto const name = std::string( peers::max_peer_name_bytes, 'n' );
    CHECK( is_accepted( message_of( name ) ) );
    CHECK_FALSE( is_accepted( message_of( name + 'n' ) ) );
    auto const address = std::string( peers::max_address_bytes + 1, '1' );
    auto message = message_of( "gateway-1" );
    message.ip = address;
    CHECK_FALSE( is_accepted( message ) );
    message = message_of( "gateway-1" );
    message.callers = address;
    CHECK_FALSE( is_accepted( message ) );
    message = message_of( "gateway-1" );
    message.data_centre = core::data_centre_id( name + 'n' );
    CHECK_FALSE( is_accepted( message ) );
    message = message_of( "gateway-1" );
    message.known_ips = { "192.0.2.2", address };
    CHECK_FALSE( is_accepted( message ) );
}

TEST_CASE( "one instance too many is not remembered, those before it are heard",
           "[peers][forged]" )
{
    auto f = table_fixture{};
    f.fill( peers::max_peers, message_path::relayed );
    CHECK(
        f.apply( message_of( "one more" ), message_path::relayed ).is_refused );
    CHECK_FALSE( f.knows( "one more" ) );
    auto const known = f.apply( message_of( "7" ), message_path::relayed );
    CHECK_FALSE( known.is_refused );
    CHECK_FALSE( known.is_stale );
}

TEST_CASE( "instances named by others give way to one at its own address",
           "[peers][forged]" )
{
    auto f = table_fixture{};
    auto const path = GENERATE( message_path::relayed, message_path::direct );
    // All at one address, so that at most one of them is confirmed.
    f.fill( peers::max_peers, path );
    f.now += 1s;
    f.apply( message_of( "7" ), path );
    for ( auto i = 0; i < newcomers; ++i )
    {
        auto const id = "newcomer-" + std::to_string( i );
        auto const change =
            f.apply( message_at( id, "198.51.100." + std::to_string( i ) ),
                     message_path::direct );
        CHECK( change.is_new );
        CHECK( change.replaced );
        CHECK( change.replaced != core::instance_id( "7" ) );
    }
    CHECK( f.table.all().size() == peers::max_peers );
    // Further names do not take the places of the newcomers.
    for ( auto i = 0; i < newcomers; ++i )
        f.apply( message_of( "other " + std::to_string( i ) ), path );
    for ( auto i = 0; i < newcomers; ++i )
        CHECK( f.knows( "newcomer-" + std::to_string( i ) ) );
    CHECK( f.table.all().size() == peers::max_peers );
}

TEST_CASE( "confirmed instances do not give way", "[peers][forged]" )
{
    auto f = table_fixture{};
    for ( auto i = std::size_t{ 0 }; i < peers::max_peers; ++i )
        f.apply(
            message_at( std::to_string( i ), "10.0." + std::to_string( i ) ),
            message_path::direct );
    CHECK(
        f.apply( message_at( "one more", "192.0.2.1" ), message_path::direct )
            .is_refused );
}

TEST_CASE( "one address too many is not remembered", "[peers][forged]" )
{
    auto const now = core::instant( 1h );
    auto memory = peers::address_memory{};
    for ( auto i = std::size_t{ 0 }; i < peers::max_peers; ++i )
        CHECK( memory.note( std::to_string( i ), now ) );
    CHECK_FALSE( memory.note( "one more", now ) );
    CHECK( memory.size() == peers::max_peers );
}
