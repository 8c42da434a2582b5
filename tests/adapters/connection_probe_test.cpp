#include <pollenstream/adapters/asio/connection_probe.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace std::chrono_literals;

namespace core = pollenstream::core;
namespace asio = pollenstream::adapters::asio;

namespace
{

constexpr auto limit = core::duration( 50ms );
constexpr auto longer_than_limit = 2 * limit;

struct listening_process
{
    asio::net::io_context io{ 1 };
    asio::tcp::acceptor acceptor{
        io, asio::tcp::endpoint( asio::net::ip::address_v4::loopback(), 0 ) };

    [[nodiscard]] auto address() const -> core::address
    {
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }
};

struct probe_result
{
    bool has_ended{ false };
    std::optional<bool> listens;
};

auto start_probe( asio::net::io_context& io,
                  core::address const& address,
                  probe_result& result ) -> void
{
    asio::probe_connection( io, address, limit,
                            [&result]( auto listens )
                            {
                                result = { true, listens };
                            } );
}

}

TEST_CASE( "a probe finds a process that listens, and one that does not",
           "[probe]" )
{
    auto process = listening_process{};
    auto const address = process.address();
    auto io = asio::net::io_context( 1 );
    auto result = probe_result{};
    auto const is_listening = GENERATE( true, false );
    if ( !is_listening )
        process.acceptor.close();
    start_probe( io, address, result );
    io.run();
    CHECK( result.has_ended );
    CHECK( result.listens == is_listening );
}

TEST_CASE(
    "a probe that has connected is conclusive after a freeze longer than "
    "its limit",
    "[probe]" )
{
    auto process = listening_process{};
    auto const address = process.address();
    auto io = asio::net::io_context( 1 );
    auto result = probe_result{};
    auto const is_listening = GENERATE( true, false );
    if ( !is_listening )
        process.acceptor.close();
    start_probe( io, address, result );
    std::this_thread::sleep_for( longer_than_limit );
    io.run();
    CHECK( result.has_ended );
    CHECK( result.listens == is_listening );
}
