#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/report_memory.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;

// Whose reports are forgotten where they have used up their memory.

namespace
{

constexpr auto max_bytes = std::size_t{ 1'000 };

struct reports_fixture
{
    reports_fixture()
    {
        reports.on_gives_way = [this]( core::instance_id const& id )
        {
            forgotten.push_back( id.str() );
            kept.erase( id.str() );
        };
    }
    auto report( std::string const& owner, std::size_t bytes ) -> bool
    {
        auto claim = reports.take( core::instance_id( owner ), bytes );
        if ( !claim )
            return false;
        kept[owner].push_back( std::move( claim ) );
        return true;
    }

    exchange::report_memory reports{ max_bytes };
    std::map<std::string, std::vector<std::shared_ptr<exchange::report_claim>>>
        kept;
    std::vector<std::string> forgotten;
};

}

TEST_CASE( "a report is counted until it ends", "[report_memory]" )
{
    auto f = reports_fixture{};
    REQUIRE( f.report( "a", 300 ) );
    REQUIRE( f.report( "b", 200 ) );
    CHECK( f.reports.used_bytes() == 500 );
    f.kept.erase( "a" );
    CHECK( f.reports.used_bytes() == 200 );
    CHECK( f.reports.gave_way() == 0 );
}

TEST_CASE( "the instance with the most reports gives way", "[report_memory]" )
{
    auto f = reports_fixture{};
    REQUIRE( f.report( "small", 100 ) );
    REQUIRE( f.report( "large", 700 ) );
    CHECK( f.report( "newcomer", 400 ) );
    CHECK( f.forgotten == std::vector<std::string>{ "large" } );
    CHECK( f.reports.used_bytes() == 500 );
    CHECK( f.reports.gave_way() == 1 );
}

TEST_CASE( "who would have the most itself is refused", "[report_memory]" )
{
    auto f = reports_fixture{};
    REQUIRE( f.report( "small", 300 ) );
    REQUIRE( f.report( "large", 600 ) );
    CHECK_FALSE( f.report( "large", 200 ) );
    CHECK_FALSE( f.report( "small", 2'000 ) );
    CHECK( f.forgotten.empty() );
    CHECK( f.reports.refused() == 2 );
    CHECK( f.reports.used_bytes() == 900 );
}

TEST_CASE( "a report that is kept all the same is not asked for twice",
           "[report_memory]" )
{
    auto f = reports_fixture{};
    REQUIRE( f.report( "large", 900 ) );
    auto const elsewhere = f.kept;
    CHECK_FALSE( f.report( "newcomer", 200 ) );
    CHECK( f.forgotten == std::vector<std::string>{ "large" } );
    CHECK( f.reports.used_bytes() == 900 );
}

TEST_CASE( "a claim may outlive the account", "[report_memory]" )
{
    auto claim = std::shared_ptr<exchange::report_claim>{};
    {
        auto reports = exchange::report_memory( max_bytes );
        claim = reports.take( core::instance_id( "a" ), 100 );
    }
    CHECK( claim.use_count() == 1 );
}

TEST_CASE( "what a report has in lists is counted", "[report_memory]" )
{
    auto work = exchange::open_work{};
    auto const bare = exchange::bytes_of( work );
    work.parts.resize( 10 );
    CHECK( exchange::bytes_of( work ) >=
           bare + 10 * sizeof( exchange::work_part ) );
    auto request = exchange::placement_request{};
    auto const without_parts = exchange::bytes_of( request );
    request.shared_parts.resize( 1'000 );
    CHECK( exchange::bytes_of( request ) >=
           without_parts + 1'000 * sizeof( exchange::prompt_part_id ) );
}
