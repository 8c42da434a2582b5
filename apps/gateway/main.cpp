#include "first_settings.hpp"
#include "gateway_node.hpp"
#include "settings_watch.hpp"
#include <pollenstream/adapters/spdlog/structured_log.hpp>

#include <docopt/docopt.h>

#include <chrono>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace
{

namespace gw = pollenstream::gateway;
namespace net = pollenstream::adapters::asio::net;
namespace platform = pollenstream::platform;

constexpr auto usage =
    R"(The gateway: one instance of Pollenstream on the users' platform.

Usage:
  pollenstream-gateway [--settings=FILE] [--metrics-port=N] [--check]
  pollenstream-gateway (-h | --help)

Options:
  --settings=FILE  Settings file; else the one that POLLENSTREAM_NODE_FILE names.
  --metrics-port=N Serve /metrics and /state at this port of the callers' address.
  --check          Check the settings, print findings and exit.
  -h --help        Show this help.
)";

constexpr auto exit_invalid_settings = 2;

/// The text of the file at `path`, or none if it cannot be read.
auto read_text( std::string const& path ) -> std::optional<std::string>
{
    auto file = std::ifstream( path );
    if ( !file )
        return std::nullopt;
    auto text = std::ostringstream{};
    text << file.rdbuf();
    return text.str();
}

/// How often a settings file that is missing or incomplete is read again.
constexpr auto settings_retry_period = std::chrono::milliseconds( 100 );

auto settings_source_at( std::string const& path ) -> gw::settings_source
{
    return { path,
             [path]
             {
                 return read_text( path );
             },
             []
             {
                 std::this_thread::sleep_for( settings_retry_period );
             },
             []( std::string const& findings, bool is_usable )
             {
                 std::cerr << findings
                           << ( is_usable ? "the defaults are used\n"
                                          : "waiting for usable settings\n" );
             } };
}

/// Prints all findings and returns the exit status.
auto check( gw::settings_source const& source ) -> int
{
    auto found = platform::settings_findings{};
    gw::read_settings_once( source, found );
    std::cerr << found.errors.report() << found.ignored.report();
    auto const is_clean = found.errors.empty() && found.ignored.empty();
    return is_clean ? 0 : exit_invalid_settings;
}

/// Runs the event loop until it is stopped. What a handler throws ends that
/// handler alone.
auto run_loop( net::io_context& io, gw::gateway_node& node ) -> void
{
    while ( !io.stopped() )
    {
        try
        {
            io.run();
        }
        catch ( std::exception const& e )
        {
            node.note_failure( "handler", e );
        }
    }
}

/// Runs an instance until it has stopped.
auto serve( std::string const& path,
            platform::gateway_settings const& settings,
            std::optional<std::uint16_t> metrics_port,
            pollenstream::exchange::event_log& log ) -> void
{
    auto io = net::io_context( 1 );
    auto node = gw::gateway_node( io, settings, log );
    auto stop_signals = net::signal_set( io, SIGTERM, SIGINT );
    stop_signals.async_wait(
        [&node]( auto ec, int )
        {
            if ( !ec )
                node.stop();
        } );
    auto scheduler = pollenstream::adapters::asio::asio_scheduler( io );
    scheduler.set_failure_listener(
        [&node]( auto const& e )
        {
            node.note_failure( "timer", e );
        } );
    auto watch = gw::settings_watch(
        path, settings.instance,
        [&path]
        {
            return read_text( path );
        },
        [&node]( auto const& next )
        {
            return node.apply( next );
        },
        scheduler, log );
    auto reload_signals = net::signal_set( io, SIGHUP );
    auto wait_for_reload = std::function<void()>{};
    wait_for_reload = [&]
    {
        reload_signals.async_wait(
            [&]( auto ec, int )
            {
                if ( ec )
                    return;
                watch.reload();
                wait_for_reload();
            } );
    };
    wait_for_reload();
    watch.start();
    if ( metrics_port )
        node.serve_metrics( *metrics_port );
    node.start();
    run_loop( io, node );
}

/// Runs an instance and logs the reason if it fails.
auto run( std::string const& path,
          platform::gateway_settings const& settings,
          std::optional<std::uint16_t> metrics_port ) -> void
{
    auto log = pollenstream::adapters::spdlog::structured_log(
        settings.instance, settings.data_centre );
    try
    {
        serve( path, settings, metrics_port, log );
    }
    catch ( std::exception const& e )
    {
        log.record( pollenstream::exchange::state_change{
            "process", settings.instance.str(), "failed", e.what(), {} } );
        throw;
    }
}

}

auto main( int argc, char** argv ) -> int
{
    std::signal( SIGPIPE, SIG_IGN );
    // Ignored until the settings are watched: by default SIGHUP would end the
    // process.
    std::signal( SIGHUP, SIG_IGN );
    auto args = docopt::docopt( usage, { argv + 1, argv + argc }, true );
    auto const path = args["--settings"] ? args["--settings"].asString()
                                         : platform::settings_path();
    auto const source = settings_source_at( path );
    if ( args["--check"].asBool() )
        return check( source );
    if ( path.empty() )
    {
        std::cerr << "no settings file is named\n";
        return exit_invalid_settings;
    }
    try
    {
        auto port = std::optional<std::uint16_t>{};
        if ( args["--metrics-port"] )
            port =
                static_cast<std::uint16_t>( args["--metrics-port"].asLong() );
        run( path, gw::wait_for_settings( source ), port );
        return 0;
    }
    catch ( std::exception const& e )
    {
        std::cerr << "pollenstream-gateway: " << e.what() << "\n";
        return 1;
    }
}
