#include <pollenstream/scheduling/engine_speeds.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace scheduling = pollenstream::scheduling;

namespace
{

constexpr auto start = core::instant( 100s );

}

// Guards against prompts that go on to a slow engine, and against an engine
// that stays avoided although it has recovered.
TEST_CASE( "an engine is found slow, and fast again, within three first events",
           "[scheduling][speeds]" )
{
    auto estimate = scheduling::speed_estimate{};
    CHECK( estimate.slowdown( start ) == 1 );
    for ( auto i = 0; i < 3; ++i )
        estimate.add_sample( 3.0 + i, start );
    CHECK( estimate.slowdown( start ) == 4 );
    for ( auto i = 0; i < 3; ++i )
        estimate.add_sample( 0.9, start + 1s );
    CHECK( estimate.slowdown( start + 1s ) == 1 );
}

// Guards against other placements because of one delayed datagram or a pass
// that had just begun, and against a backlog made endless by extreme samples.
TEST_CASE( "one late first event and slightly late ones do not count, and a "
           "slowdown is at most ten",
           "[scheduling][speeds]" )
{
    auto estimate = scheduling::speed_estimate{};
    estimate.add_sample( 9, start );
    CHECK( estimate.slowdown( start ) == 1 );
    for ( auto i = 0; i < 3; ++i )
        estimate.add_sample( 1.99, start );
    CHECK( estimate.slowdown( start ) == 1 );
    for ( auto i = 0; i < 3; ++i )
        estimate.add_sample( 400, start );
    CHECK( estimate.slowdown( start ) == 10 );
}

// Guards against an engine that gets no work because it was slow once.
TEST_CASE( "a slowdown expires after five seconds without a sample",
           "[scheduling][speeds]" )
{
    auto estimate = scheduling::speed_estimate{};
    for ( auto i = 0; i < 3; ++i )
        estimate.add_sample( 3, start );
    CHECK( estimate.slowdown( start + 4999ms ) == 3 );
    CHECK( estimate.slowdown( start + 5s ) == 1 );
    // The samples of before do not count any more.
    estimate.add_sample( 3, start + 6s );
    CHECK( estimate.slowdown( start + 6s ) == 1 );
}

// Guards against healthy engines that are blamed for the slow one among them.
TEST_CASE( "late work of several engines gives no sample, work in time gives "
           "one for each",
           "[scheduling][speeds]" )
{
    auto const expected =
        scheduling::expected_first_event{ start, 100ms, { 1, 4 } };
    CHECK( scheduling::samples_of( expected, start + 101ms ).empty() );
    CHECK( scheduling::samples_of( expected, start + 50ms ) ==
           std::vector<double>{ 0.5, 2 } );
    auto const single = scheduling::expected_first_event{ start, 100ms, { 2 } };
    auto const samples = scheduling::samples_of( single, start + 150ms );
    REQUIRE( samples.size() == 1 );
    CHECK( samples.front() == Approx( 3 ) );
}
