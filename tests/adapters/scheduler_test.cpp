#include <pollenstream/adapters/asio/asio_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace core = pollenstream::core;
namespace adapters = pollenstream::adapters;

TEST_CASE( "a call that is due at the end of time is not made at once",
           "[scheduler]" )
{
    auto io = adapters::asio::net::io_context( 1 );
    auto scheduler = adapters::asio::asio_scheduler( io );
    auto made = false;
    auto const far = core::instant::max() - scheduler.now();
    auto const call = scheduler.call_after( far,
                                            [&made]
                                            {
                                                made = true;
                                            } );
    io.poll();
    io.run_for( 20ms );
    CHECK_FALSE( made );
}
