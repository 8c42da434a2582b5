#include <pollenstream/adapters/asio/asio_scheduler.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

using namespace std::chrono_literals;

namespace core = pollenstream::core;
namespace adapters = pollenstream::adapters;

TEST_CASE( "a call due at the maximum instant does not run immediately",
           "[scheduler]" )
{
    auto io = adapters::asio::net::io_context( 1 );
    auto scheduler = adapters::asio::asio_scheduler( io );
    auto has_run = false;
    auto const max_delay = core::instant::max() - scheduler.now();
    auto const call = scheduler.call_after( max_delay,
                                            [&has_run]
                                            {
                                                has_run = true;
                                            } );
    io.poll();
    io.run_for( 20ms );
    CHECK_FALSE( has_run );
}

TEST_CASE( "a timer that throws ends neither the process nor other timers",
           "[scheduler][exception]" )
{
    auto io = adapters::asio::net::io_context( 1 );
    auto scheduler = adapters::asio::asio_scheduler( io );
    auto failures = std::string{};
    scheduler.set_failure_listener(
        [&failures]( auto const& e )
        {
            failures += e.what();
        } );
    auto later_calls = 0;
    auto const bad =
        scheduler.call_after( 1ms,
                              []
                              {
                                  throw std::runtime_error( "bad" );
                              } );
    auto const good = scheduler.call_after( 5ms,
                                            [&later_calls]
                                            {
                                                ++later_calls;
                                            } );
    io.run_for( 50ms );
    CHECK( failures == "bad" );
    CHECK( later_calls == 1 );
}

TEST_CASE( "repeated calls go on after one that throws",
           "[scheduler][exception]" )
{
    auto io = adapters::asio::net::io_context( 1 );
    auto scheduler = adapters::asio::asio_scheduler( io );
    auto failures = 0;
    scheduler.set_failure_listener(
        [&failures]( auto const& )
        {
            ++failures;
        } );
    auto calls = 0;
    auto repeated = pollenstream::ports::repeating_call(
        scheduler, 2ms,
        [&calls]
        {
            if ( ++calls == 2 )
                throw std::runtime_error( "second" );
        } );
    repeated.start();
    io.run_for( 200ms );
    CHECK( failures == 1 );
    CHECK( calls > 3 );
}
