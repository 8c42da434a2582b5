#include <pollenstream/adapters/asio/connection_accounts.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace asio = pollenstream::adapters::asio;
namespace core = pollenstream::core;
using namespace std::chrono_literals;

// Who gives way where connections have used up the memory or the descriptors.

namespace
{

constexpr auto kilobyte = std::size_t{ 1024 };
constexpr auto megabyte = kilobyte * kilobyte;
constexpr auto budget_bytes = megabyte;
constexpr auto max_connections = std::size_t{ 4 };
/// Longer than any pause after which a sender is taken for slow.
constexpr auto long_pause = 1s;
constexpr auto short_pause = 10ms;

class connection : public asio::accounted_connection
{
public:
    explicit connection( std::shared_ptr<asio::connection_accounts> accounts )
        : account( std::move( accounts ), *this )
    {
    }
    [[nodiscard]] auto can_give_way() const -> bool override
    {
        return !is_answering;
    }
    auto give_memory_back() -> void override
    {
        ++refused;
        account.release();
    }
    auto give_descriptor_back() -> void override
    {
        ++closed;
        account.close();
    }
    [[nodiscard]] auto caller() const -> std::string override
    {
        return "192.0.2.1:1";
    }

    asio::connection_account account;
    bool is_answering{ false };
    int refused{ 0 };
    int closed{ 0 };
};

struct accounts_fixture
{
    explicit accounts_fixture( std::size_t connections = max_connections )
        : accounts( std::make_shared<asio::connection_accounts>( memory,
                                                                 connections,
                                                                 [this]
                                                                 {
                                                                     return now;
                                                                 } ) )
    {
        accounts->on_shortage = [this]( auto const& report )
        {
            reports.push_back( report );
        };
    }
    auto connect() -> connection&
    {
        REQUIRE( accounts->admit() );
        return all.emplace_back( accounts );
    }

    std::chrono::steady_clock::time_point now{ 1h };
    std::shared_ptr<core::memory_budget> memory{
        std::make_shared<core::memory_budget>( budget_bytes ) };
    std::shared_ptr<asio::connection_accounts> accounts;
    std::deque<connection> all;
    std::vector<asio::shortage_report> reports;
};

}

TEST_CASE( "what a connection holds is counted until it is released",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& one = f.connect();
    CHECK( f.memory->used_bytes() == asio::connection_bytes );
    REQUIRE( one.account.hold( 100 * kilobyte ) );
    CHECK( f.memory->used_bytes() == asio::connection_bytes + 100 * kilobyte );
    REQUIRE( one.account.hold( 10 * kilobyte ) );
    CHECK( f.memory->used_bytes() == asio::connection_bytes + 10 * kilobyte );
    one.account.close();
    CHECK( f.memory->used_bytes() == 0 );
    CHECK( f.accounts->connections() == 0 );
}

TEST_CASE( "the memory of a request that is handed on is not the connection's",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& one = f.connect();
    REQUIRE( one.account.hold( 100 * kilobyte ) );
    auto request = one.account.take_for_request( 90 * kilobyte );
    one.account.close();
    CHECK( f.memory->used_bytes() == 90 * kilobyte );
    request.reset();
    CHECK( f.memory->used_bytes() == 0 );
}

TEST_CASE( "in calm nobody gives way", "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& slow = f.connect();
    REQUIRE( slow.account.hold( 100 * kilobyte ) );
    f.now += long_pause;
    REQUIRE( f.connect().account.hold( 100 * kilobyte ) );
    CHECK( slow.refused == 0 );
    CHECK( f.accounts->gave_way() == 0 );
    CHECK( f.reports.empty() );
}

TEST_CASE( "who holds the most without progress gives memory back",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& small = f.connect();
    REQUIRE( small.account.hold( 100 * kilobyte ) );
    auto& large = f.connect();
    REQUIRE( large.account.hold( 600 * kilobyte ) );
    auto& answering = f.connect();
    answering.is_answering = true;
    f.now += long_pause;
    REQUIRE( f.connect().account.hold( 600 * kilobyte ) );
    CHECK( small.refused == 0 );
    CHECK( large.refused == 1 );
    CHECK( answering.refused == 0 );
    CHECK( f.accounts->gave_way() == 1 );
    REQUIRE( f.reports.size() == 1 );
    CHECK( f.reports[0].gave_way == 1 );
    CHECK( f.reports[0].resource == asio::scarce_resource::memory );
}

TEST_CASE( "a sender that makes progress keeps its memory",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& steady = f.connect();
    REQUIRE( steady.account.hold( 600 * kilobyte ) );
    auto& newcomer = f.connect();
    f.now += long_pause;
    steady.account.note_received( 16 * kilobyte );
    f.now += short_pause;
    CHECK_FALSE( newcomer.account.hold( 600 * kilobyte ) );
    CHECK( steady.refused == 0 );
}

TEST_CASE( "a byte now and then is no progress", "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& trickling = f.connect();
    REQUIRE( trickling.account.hold( 600 * kilobyte ) );
    for ( auto i = 0; i < 10; ++i )
    {
        f.now += 100ms;
        trickling.account.note_received( 1 );
    }
    CHECK( f.connect().account.hold( 600 * kilobyte ) );
    CHECK( trickling.refused == 1 );
}

TEST_CASE( "memory for bytes that do not come is lent to others",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& announced = f.connect();
    REQUIRE( announced.account.reserve( 800 * kilobyte ) );
    REQUIRE( announced.account.hold( 10 * kilobyte ) );
    CHECK( f.memory->used_bytes() == asio::connection_bytes + 800 * kilobyte );
    f.now += 100ms;
    auto& other = f.connect();
    REQUIRE( other.account.hold( 600 * kilobyte ) );
    CHECK( announced.refused == 0 );
    // What comes then is claimed anew.
    other.account.close();
    REQUIRE( announced.account.hold( 800 * kilobyte ) );
    CHECK( f.memory->used_bytes() == asio::connection_bytes + 800 * kilobyte );
}

TEST_CASE( "large requests leave memory to small ones",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& large = f.connect();
    auto const left = budget_bytes / asio::parts_for_small_requests;
    CHECK_FALSE( large.account.hold( budget_bytes - left ) );
    REQUIRE( large.account.hold( budget_bytes - left -
                                 2 * asio::connection_bytes ) );
    auto& small = f.connect();
    CHECK_FALSE( small.account.hold( 40 * kilobyte ) );
    CHECK( small.account.hold( 20 * kilobyte ) );
}

TEST_CASE( "a claim that fails leaves what was held", "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& one = f.connect();
    REQUIRE( one.account.hold( 100 * kilobyte ) );
    f.now += long_pause;
    CHECK_FALSE( one.account.hold( 2 * megabyte ) );
    CHECK( one.refused == 0 );
    CHECK( f.memory->used_bytes() == asio::connection_bytes + 100 * kilobyte );
}

TEST_CASE( "a connection that holds nothing keeps its place",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    auto& idle = f.connect();
    auto& refused = f.connect();
    REQUIRE( refused.account.hold( 100 * kilobyte ) );
    refused.account.release();
    f.now += long_pause;
    CHECK_FALSE( f.connect().account.hold( 2 * megabyte ) );
    CHECK( idle.refused == 0 );
    CHECK( refused.refused == 0 );
    CHECK( f.accounts->gave_way() == 0 );
}

TEST_CASE( "connections leave half of the memory to requests",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{ budget_bytes / asio::connection_bytes };
    auto const half = budget_bytes / asio::connection_bytes / 2;
    for ( auto i = std::size_t{ 0 }; i < half; ++i )
    {
        f.connect();
        f.now += short_pause;
    }
    CHECK( f.accounts->gave_way() == 0 );
    auto& last = f.connect();
    CHECK( f.all[0].closed == 1 );
    CHECK( f.accounts->connections() == half );
    CHECK( last.account.hold( 400 * kilobyte ) );
}

TEST_CASE( "the connection without progress for longest gives its descriptor",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    for ( auto i = std::size_t{ 0 }; i < max_connections; ++i )
    {
        f.connect();
        f.now += short_pause;
    }
    f.all[0].is_answering = true;
    f.all[1].account.note_progress();
    f.connect();
    CHECK( f.all[0].closed == 0 );
    CHECK( f.all[1].closed == 0 );
    CHECK( f.all[2].closed == 1 );
    CHECK( f.accounts->connections() == max_connections );
    CHECK( f.accounts->gave_way() == 1 );
}

TEST_CASE( "a connection is refused where all others are being answered",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    for ( auto i = std::size_t{ 0 }; i < max_connections; ++i )
        f.connect().is_answering = true;
    CHECK_FALSE( f.accounts->admit() );
    CHECK( f.accounts->refused() == 1 );
    REQUIRE( f.reports.size() == 1 );
    CHECK( f.reports[0].resource == asio::scarce_resource::descriptors );
}

TEST_CASE( "shortages are reported once a second", "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    for ( auto i = std::size_t{ 0 }; i < max_connections; ++i )
        f.connect().is_answering = true;
    for ( auto i = 0; i < 50; ++i )
        CHECK_FALSE( f.accounts->admit() );
    CHECK( f.reports.size() == 1 );
    f.now += 1s;
    CHECK_FALSE( f.accounts->admit() );
    REQUIRE( f.reports.size() == 2 );
    CHECK( f.reports[1].refused == 50 );
}

TEST_CASE( "the rest of a shortage is reported once it is over",
           "[connection_accounts]" )
{
    auto f = accounts_fixture{};
    for ( auto i = std::size_t{ 0 }; i < max_connections; ++i )
        f.connect().is_answering = true;
    for ( auto i = 0; i < 50; ++i )
        CHECK_FALSE( f.accounts->admit() );
    f.accounts->report_rest();
    CHECK( f.reports.size() == 1 );
    f.now += 1s;
    f.accounts->report_rest();
    f.now += 1s;
    f.accounts->report_rest();
    REQUIRE( f.reports.size() == 2 );
    CHECK( f.reports[1].refused == 49 );
}
