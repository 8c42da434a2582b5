#include <pollenstream/adapters/ini/ini_reader.hpp>
#include <pollenstream/settings/daemon_settings.hpp>

#include <catch2/catch.hpp>

namespace core = pollenstream::core;
namespace ini = pollenstream::adapters::ini;

namespace
{

constexpr auto valid_settings =
    "[instance]\nid = entry-1\nplace = graz-a\n"
    "callers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
    "operators = [::1]:3\n"
    "[platform]\nstore = 127.0.0.1:4\nlist = 127.0.0.1:5\n"
    "[operators]\ntoken = 0123456789abcdef\n";

auto findings_of( std::string const& text ) -> core::findings
{
    auto found = core::findings{};
    auto const document = ini::read_text( "daemon.ini", text, found );
    pollenstream::settings::read_daemon_settings( document, found );
    return found;
}

}

TEST_CASE( "valid settings have no findings", "[settings]" )
{
    CHECK( findings_of( valid_settings ).report().empty() );
}

TEST_CASE( "all findings are reported together with file, line and key",
           "[settings]" )
{
    auto const found = findings_of( "[instance]\n"
                                    "id = a:b\n"
                                    "callers = localhost:80\n"
                                    "peers = 127.0.0.1:99999\n"
                                    "colour = blue\n"
                                    "colour = red\n"
                                    "[platform]\n"
                                    "[limits]\n"
                                    "threads = many\n"
                                    "[limits]\n"
                                    "[extra]\n"
                                    "not a line\n" );
    auto const report = found.report();
    CAPTURE( report );
    for ( auto const* const expected :
          { "daemon.ini:2: instance.id: must not contain",
            "daemon.ini:1: instance.place: is required",
            "daemon.ini:3: instance.callers: 'localhost:80' is not IP:PORT",
            "daemon.ini:4: instance.peers", "daemon.ini:1: instance.operators",
            "daemon.ini:5: instance.colour: is not a known key",
            "daemon.ini:7: platform.store: is required",
            "daemon.ini:9: limits.threads: 'many' is not a whole number",
            "daemon.ini:10: limits: stands twice",
            "daemon.ini:11: extra: is not a section",
            "operators: the section is required",
            "daemon.ini:12: is neither [section] nor key = value" } )
        CHECK( report.find( expected ) != std::string::npos );
}

TEST_CASE( "a missing file and a line that is too long are findings",
           "[settings]" )
{
    auto found = core::findings{};
    ini::read_file( "does-not-exist.ini", found );
    CHECK( found.report() == "does-not-exist.ini:0: cannot be opened\n" );
    auto const long_line =
        findings_of( std::string( valid_settings ) + "[limits]\n" +
                     std::string( 500, 'x' ) + " = 1\n" );
    CHECK( long_line.report().find( "longer than" ) != std::string::npos );
}

TEST_CASE( "the memory of the process is a limit with a default", "[settings]" )
{
    constexpr auto megabyte = std::size_t{ 1024 } * 1024;
    auto const memory_of = []( std::string const& text )
    {
        auto found = core::findings{};
        auto const document = ini::read_text( "daemon.ini", text, found );
        return pollenstream::settings::read_daemon_settings( document, found )
            .memory;
    };
    auto const limits = std::string( valid_settings ) + "[limits]\n";
    CHECK( memory_of( valid_settings ) == 1024 * megabyte );
    CHECK( memory_of( limits + "memory_mb = 128\n" ) == 128 * megabyte );
    CHECK_THAT( findings_of( limits + "memory_mb = 1\n" ).report(),
                Catch::Contains( "limits.memory_mb" ) );
}

TEST_CASE( "four of the largest bodies have to fit into the memory",
           "[settings]" )
{
    auto const largest = []( std::string const& bytes )
    {
        return std::string( valid_settings ) +
               "[limits]\nmemory_mb = 128\nlargest_body_bytes = " + bytes +
               "\n";
    };
    CHECK( findings_of( largest( "33554432" ) ).report().empty() );
    CHECK_THAT( findings_of( largest( "33554433" ) ).report(),
                Catch::Contains( "limits.memory_mb: is not enough" ) );
    // The largest body that there may be is within the default.
    CHECK( findings_of( std::string( valid_settings ) +
                        "[limits]\nlargest_body_bytes = 268435456\n" )
               .report()
               .empty() );
}
