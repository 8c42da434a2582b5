#include <pollenstream/adapters/asio/asio_scheduler.hpp>

#include <catch2/catch.hpp>

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
