#include "engine_server.hpp"
#include "platform_server.hpp"
#include <pollenstream/core/address.hpp>

#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>
#include <map>
#include <string>

namespace
{

constexpr auto usage =
    R"(pollenstream-standin - small stand-ins for the systems around pollenstream.

Usage:
  pollenstream-standin engine  --listen=A --control=A [options]
  pollenstream-standin service --listen=A --control=A [--work-ms=N]
  pollenstream-standin store   --listen=A --control=A
  pollenstream-standin list    --listen=A [--lag-ms=N]
  pollenstream-standin --help

Options:
  --listen=A          IP:PORT to serve at.
  --control=A         IP:PORT to be told faults at.
  --memory=N          KV memory of an engine in tokens [default: 400000].
  --prefill-rate=N    Prompt tokens an engine reads a second [default: 20000].
  --chunk=N           Prompt tokens read in one step [default: 1024].
  --step-ms=N         Length of an empty step [default: 8].
  --report-ms=N       Age of load reports at most [default: 200].
  --work-ms=N         Time that a plain call takes [default: 5].
  --lag-ms=N          How far the instance list is behind [default: 500].
)";

using arguments = std::map<std::string, docopt::value>;
namespace core = pollenstream::core;

constexpr auto threads = std::size_t{ 16 };

auto address_of( arguments const& given, std::string const& name )
    -> core::address
{
    auto const parsed = core::parse_address( given.at( name ).asString() );
    if ( parsed )
        return parsed.value();
    std::cerr << name << ": " << parsed.error().detail << '\n';
    std::exit( 2 );
}

auto number_of( arguments const& given, std::string const& name ) -> long
{
    return given.at( name ).asLong();
}

/// Blocks the stop signals in this and all later threads.
auto block_stop_signals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset( &signals );
    sigaddset( &signals, SIGTERM );
    sigaddset( &signals, SIGINT );
    pthread_sigmask( SIG_BLOCK, &signals, nullptr );
    return signals;
}

template <class Server>
auto serve( Server& server ) -> void
{
    server.open();
    auto const signals = block_stop_signals();
    auto which = 0;
    sigwait( &signals, &which );
    // Watches may still wait; nothing here is worth waiting for them.
    _exit( 0 );
}

auto run_engine( arguments const& given ) -> void
{
    auto settings = standins::engine_settings{};
    settings.memory_tokens = number_of( given, "--memory" );
    settings.cache_tokens = settings.memory_tokens;
    settings.prefill_rate =
        static_cast<double>( number_of( given, "--prefill-rate" ) );
    settings.chunk_tokens = number_of( given, "--chunk" );
    settings.base_step_seconds =
        static_cast<double>( number_of( given, "--step-ms" ) ) / 1000.0;
    settings.report_period =
        std::chrono::milliseconds( number_of( given, "--report-ms" ) );
    auto server =
        standins::engine_server( address_of( given, "--listen" ),
                                 address_of( given, "--control" ), settings );
    serve( server );
}

}

auto main( int argc, char** argv ) -> int
{
    auto const given = docopt::docopt( usage, { argv + 1, argv + argc } );
    block_stop_signals();
    crossplat::threadpool::initialize_with_threads( threads );
    if ( given.at( "engine" ).asBool() )
        run_engine( given );
    if ( given.at( "service" ).asBool() )
    {
        auto const work =
            std::chrono::milliseconds( number_of( given, "--work-ms" ) );
        auto server =
            standins::service_server( address_of( given, "--listen" ),
                                      address_of( given, "--control" ), work );
        serve( server );
    }
    if ( given.at( "store" ).asBool() )
    {
        auto server = standins::store_server(
            address_of( given, "--listen" ), address_of( given, "--control" ) );
        serve( server );
    }
    auto const lag =
        std::chrono::milliseconds( number_of( given, "--lag-ms" ) );
    auto server = standins::list_server( address_of( given, "--listen" ), lag );
    serve( server );
    return 0;
}
