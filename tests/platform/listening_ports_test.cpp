#include "support/exchange_fixture.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/datagram_socket.hpp>

#include <catch2/catch.hpp>

#include <listening_ports.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace asio = pollenstream::adapters::asio;
namespace gateway = pollenstream::gateway;

// Guards against processes that end, or start without a port for good, because
// another process has the port at the moment of their start.

namespace
{

struct ports_fixture
{
    ports_fixture()
    {
        add( "callers", true );
        add( "metrics", false );
        ports.on_required_open = [this]
        {
            ++begun;
        };
    }
    auto add( std::string const& name, bool is_required ) -> void
    {
        ports.add( { name,
                     { "10.1.0.40", 80 },
                     is_required,
                     [this, name]() -> std::optional<std::string>
                     {
                         ++tries[name];
                         if ( held.contains( name ) )
                             return held.at( name );
                         return std::nullopt;
                     } } );
    }
    /// The states of a port that were logged, in order.
    [[nodiscard]] auto logged( std::string const& name ) const
        -> std::vector<std::string>
    {
        auto states = std::vector<std::string>{};
        for ( auto const& event : log.all )
        {
            auto const& change = std::get<exchange::state_change>( event );
            if ( change.what == "port" && change.name == name )
                states.push_back( change.now );
        }
        return states;
    }

    held_scheduler scheduler;
    recorded_events log;
    std::map<std::string, std::string> held; ///< reasons by port
    std::map<std::string, int> tries;
    int begun{ 0 };
    gateway::listening_ports ports{ scheduler, log };
};

using names = std::vector<std::string>;

}

TEST_CASE( "an instance waits for a required port and then begins once",
           "[platform][start]" )
{
    auto f = ports_fixture{};
    f.held["callers"] = "in use";
    f.ports.open_all();
    f.scheduler.run( 2s );
    CHECK( f.begun == 0 );
    CHECK( f.tries["callers"] > 10 );
    CHECK( f.tries["metrics"] == 1 );
    CHECK( f.ports.waiting() == names{ "callers" } );
    CHECK( f.logged( "callers" ) == names{ "waiting" } );
    f.held["callers"] = "no such address";
    f.scheduler.run( 1s );
    f.held.clear();
    f.scheduler.run( 1s );
    CHECK( f.begun == 1 );
    CHECK( f.ports.waiting().empty() );
    CHECK( f.logged( "callers" ) == names{ "waiting", "waiting", "open" } );
}

TEST_CASE( "an instance begins without a port that callers do not need",
           "[platform][start]" )
{
    auto f = ports_fixture{};
    f.held["metrics"] = "in use";
    f.ports.open_all();
    CHECK( f.begun == 1 );
    f.scheduler.run( 1s );
    CHECK( f.ports.waiting() == names{ "metrics" } );
    f.held.clear();
    f.scheduler.run( 1s );
    CHECK( f.ports.waiting().empty() );
    CHECK( f.begun == 1 );
}

TEST_CASE( "a listener opens once its port is free", "[platform][start]" )
{
    auto io = asio::net::io_context{};
    auto const local =
        asio::tcp::endpoint( asio::net::ip::address_v4::loopback(), 0 );
    auto holder = std::make_unique<asio::tcp::acceptor>( io, local );
    auto const at =
        core::address{ "127.0.0.1", holder->local_endpoint().port() };
    class no_answers : public asio::request_handler
    {
    public:
        [[nodiscard]] auto limits() const -> exchange::caller_limits override
        {
            return {};
        }
        auto handle( asio::raw_request,
                     std::shared_ptr<exchange::answer_channel> )
            -> std::shared_ptr<asio::request_in_progress> override
        {
            return nullptr;
        }
    };
    auto handler = no_answers{};
    auto listener = asio::caller_listener( io, handler );
    CHECK( listener.open( at ) == asio::net::error::address_in_use );
    CHECK( listener.open( at ) == asio::net::error::address_in_use );
    holder.reset();
    CHECK_FALSE( listener.open( at ) );
    CHECK( listener.address() == at );
}

TEST_CASE( "datagrams are received once their port is free",
           "[platform][start]" )
{
    auto io = asio::net::io_context{};
    auto holder = std::make_unique<asio::udp::socket>(
        io, asio::udp::endpoint( asio::net::ip::address_v4::loopback(), 0 ) );
    auto const at =
        core::address{ "127.0.0.1", holder->local_endpoint().port() };
    auto datagrams = asio::datagram_socket( io, at );
    CHECK( datagrams.open() == asio::net::error::address_in_use );
    datagrams.send( "127.0.0.1", "lost" );
    CHECK( datagrams.send_errors() == 1 );
    holder.reset();
    REQUIRE_FALSE( datagrams.open() );
    auto received = std::string{};
    datagrams.start(
        [&received]( auto bytes, auto const& from )
        {
            CHECK( from == "127.0.0.1" );
            received = bytes;
        } );
    datagrams.send( "127.0.0.1", "kept" );
    io.run_for( 100ms );
    CHECK( received == "kept" );
}

TEST_CASE( "an address that is not there is tried again", "[platform][start]" )
{
    auto io = asio::net::io_context{};
    // An address for documentation, which no machine has.
    auto datagrams = asio::datagram_socket( io, { "192.0.2.1", 7'340 } );
    CHECK( datagrams.open() );
    CHECK( datagrams.open() );
}
