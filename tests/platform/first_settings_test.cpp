#include <catch2/catch.hpp>

#include <first_settings.hpp>
#include <vector>

// Guards against processes that end because their settings are missing, or not
// whole, at the moment of their start.

namespace
{

namespace core = pollenstream::core;
namespace gateway = pollenstream::gateway;
namespace platform = pollenstream::platform;
using texts = std::vector<std::optional<std::string>>;

auto whole_text() -> std::string
{
    return "node_name=front-1\nzone=hall-a\n"
           "listen_addresses.front=10.1.0.40:8227\n"
           "listen_addresses.ready=10.1.0.40:8220\n"
           "listen_addresses.directory=10.1.0.40:8224\n"
           "platform.address=10.200.1.7:8223\n"
           "internal_port_range=7340,7355\nlimits.memory_mb=260\n";
}

/// Reads the texts one after the other; the last one is repeated.
struct source_fixture
{
    explicit source_fixture( texts read ) : all( std::move( read ) ) {}

    auto wait() -> platform::gateway_settings
    {
        return gateway::wait_for_settings(
            { "local.conf",
              [this]
              {
                  return all[std::min( pauses, all.size() - 1 )];
              },
              [this]
              {
                  ++pauses;
              },
              [this]( auto const& findings, bool is_usable )
              {
                  reports.push_back( findings );
                  was_usable = is_usable;
              } } );
    }

    texts all;
    std::size_t pauses{ 0 };
    std::vector<std::string> reports;
    bool was_usable{ false };
};

auto read( std::string const& text, platform::settings_findings& found )
    -> platform::gateway_settings
{
    return platform::read_settings( "f", text, found );
}

}

TEST_CASE( "an instance waits for settings that are not whole yet",
           "[platform][settings]" )
{
    auto const whole = whole_text();
    auto const half = whole.substr( 0, whole.size() / 2 );
    auto f =
        source_fixture( { std::nullopt, std::nullopt, "", half, half, whole } );
    auto const settings = f.wait();
    CHECK( f.pauses == 5 );
    CHECK( settings.instance.str() == "front-1" );
    CHECK( settings.memory_mb == 260 );
    // Each state of the file is reported once.
    CHECK( f.reports.size() == 3 );
    CHECK_FALSE( f.was_usable );
}

TEST_CASE( "a faulty setting that has a default does not hold up the start",
           "[platform][settings]" )
{
    auto const* const value = GENERATE( "many", "-1", "nan", "1e400", "1e300" );
    auto f =
        source_fixture( { whole_text() + "bounds.grace_period_s=" + value +
                          "\nbounds.retry_budget_slack=" + value + "\n" } );
    auto const settings = f.wait();
    CHECK( f.pauses == 0 );
    CHECK( settings.grace_period == std::chrono::seconds( 8 ) );
    CHECK( settings.retry_constant == 0 );
    REQUIRE( f.reports.size() == 1 );
    CHECK( f.was_usable );
    CHECK( f.reports[0].find( "bounds.grace_period_s" ) != std::string::npos );
}

TEST_CASE( "how a settings file is written does not matter",
           "[platform][settings]" )
{
    auto text = whole_text();
    SECTION( "a byte order mark" )
    {
        text = "\xEF\xBB\xBF" + text;
    }
    SECTION( "blanks around names and values" )
    {
        text = "  node_name = front-1 \t\r\n" +
               text.substr( text.find( '\n' ) + 1 );
    }
    SECTION( "comments and empty lines" )
    {
        text = "\n\r\n" + text + "# a comment=1\n";
    }
    auto found = platform::settings_findings{};
    auto const settings = read( text, found );
    CHECK( found.errors.empty() );
    CHECK( found.ignored.empty() );
    CHECK( settings.instance.str() == "front-1" );
    CHECK( core::to_string( settings.callers ) == "10.1.0.40:8227" );
}

TEST_CASE( "a line that is no setting does not hold up the start",
           "[platform][settings]" )
{
    auto f = source_fixture( { "[section]\n" + whole_text() } );
    CHECK( f.wait().instance.str() == "front-1" );
    CHECK( f.pauses == 0 );
    CHECK( f.reports.size() == 1 );
}
