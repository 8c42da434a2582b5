#include "node.hpp"
#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/handler_threads.hpp>
#include <pollenstream/adapters/ini/ini_reader.hpp>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <pthread.h>
#include <thread>

namespace
{

constexpr auto usage =
    R"(pollenstreamd - the pollenstream serving daemon.

Usage:
  pollenstreamd --settings=FILE [--check] [--log-level=LEVEL]
  pollenstreamd (-h | --help)
  pollenstreamd --version

Options:
  --settings=FILE     Settings in INI; see docs/CONFIGURATION.md.
  --check             Check the settings, report all findings, and end.
  --log-level=LEVEL   0 info, 1 warning, 2 error [default: 0].
  -h --help           Show this text.
  --version           Show the version.

Exit status: 0 ended as asked, 1 could not run or cut requests, 2 findings in
the settings, 3 hard stop.
)";

constexpr auto exit_failure = 1;
constexpr auto exit_findings = 2;
constexpr auto exit_hard_stop = 3;
/// The part of the process's memory for answers of targets, the list and the
/// store that are being collected, as a divisor.
constexpr auto memory_parts_of_answers = std::size_t{ 8 };

/// Blocks the stop signals in this and all later threads, so that one thread
/// can wait for them.
auto block_stop_signals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset( &signals );
    sigaddset( &signals, SIGTERM );
    sigaddset( &signals, SIGINT );
    pthread_sigmask( SIG_BLOCK, &signals, nullptr );
    return signals;
}

/// Waits a moment; returns false if a stop signal came.
auto pause_unless_stopped( sigset_t const& signals ) -> bool
{
    constexpr auto nanoseconds = 200'000'000;
    auto const limit = timespec{ 0, nanoseconds };
    return sigtimedwait( &signals, nullptr, &limit ) < 0;
}

auto wait_for( sigset_t const& signals ) -> void
{
    auto which = 0;
    sigwait( &signals, &which );
}

auto run( pollenstream::settings::daemon_settings const& settings ) -> int
{
    auto const signals = block_stop_signals();
    pollenstream::adapters::http::set_handler_threads(
        static_cast<std::size_t>( settings.threads ) );
    pollenstream::adapters::http::set_collected_limit(
        std::max( settings.memory / memory_parts_of_answers,
                  pollenstream::adapters::http::max_collected_bytes ) );
    auto instance = apps::daemon::node( settings,
                                        []
                                        {
                                            kill( getpid(), SIGTERM );
                                        } );
    auto const started = instance.start(
        [&signals]
        {
            return pause_unless_stopped( signals );
        } );
    if ( !started )
        _exit( 0 );
    wait_for( signals );
    std::thread(
        [signals]
        {
            wait_for( signals );
            LOG( WARNING ) << "hard stop";
            _exit( exit_hard_stop );
        } )
        .detach();
    auto const cut = instance.stop();
    google::FlushLogFiles( google::INFO );
    // The watch at the store waits on; nothing is lost by not waiting for it.
    _exit( cut == 0 ? 0 : exit_failure );
}

}

auto main( int argc, char** argv ) -> int
{
    // Settings are read once; by default a signal to reload ends the process.
    std::signal( SIGHUP, SIG_IGN );
    auto const arguments = docopt::docopt( usage, { argv + 1, argv + argc },
                                           true, "pollenstreamd 0.1.0" );
    google::InitGoogleLogging( argv[0] );
    FLAGS_logtostderr = true;
    FLAGS_minloglevel =
        std::atoi( arguments.at( "--log-level" ).asString().c_str() );
    auto const file = arguments.at( "--settings" ).asString();
    auto found = pollenstream::core::findings{};
    auto const text = pollenstream::adapters::ini::read_file( file, found );
    auto const settings =
        pollenstream::settings::read_daemon_settings( text, found );
    if ( !found.empty() )
    {
        std::cerr << found.report();
        return exit_findings;
    }
    if ( arguments.at( "--check" ).asBool() )
        return 0;
    try
    {
        return run( settings );
    }
    catch ( std::exception const& failure )
    {
        LOG( ERROR ) << "cannot run: " << failure.what();
        return exit_failure;
    }
}
