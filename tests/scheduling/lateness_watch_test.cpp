#include <pollenstream/scheduling/lateness_watch.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace pollenstream::scheduling;

// Guards against requests that will be late without anyone being told, against
// a wrong reason, and against a second report of the same request.

TEST_CASE( "a choice is expected late for the part that makes it late",
           "[scheduling][lateness]" )
{
    auto const reason_of = []( first_event_prediction const& what )
    {
        return lateness_watch( 3s ).on_choice( what );
    };
    CHECK_FALSE( reason_of( { 1s, 2s, 1s, 1s } ) );
    CHECK( reason_of( { 2'900ms, 200ms, 150ms, 50ms } ) ==
           lateness_reason::waited );
    CHECK( reason_of( { 1s, 3'100ms, 2s, 900ms } ) ==
           lateness_reason::backlog );
    // An idle engine, whose passes add to the prefill.
    CHECK( reason_of( { 0ms, 3'100ms, 0ms, 2'900ms } ) ==
           lateness_reason::prompt );
    // It would be late without the backlog as well.
    CHECK( reason_of( { 0ms, 8s, 4s, 3'500ms } ) == lateness_reason::prompt );
    // The prediction of a short prompt weighs the backlog by more than 1.
    CHECK( reason_of( { 0ms, 9s, 5s, 20ms } ) == lateness_reason::backlog );
}

TEST_CASE( "a wait without a target is expected late at the objective",
           "[scheduling][lateness]" )
{
    auto watch = lateness_watch( 300ms );
    CHECK_FALSE( watch.on_wait( 299ms ) );
    CHECK( watch.on_wait( 300ms ) == lateness_reason::waited );
}

TEST_CASE( "an expected lateness is reported once for each request",
           "[scheduling][lateness]" )
{
    auto watch = lateness_watch( 300ms );
    CHECK( watch.on_choice( { 0ms, 400ms, 0ms, 0ms } ) );
    CHECK( watch.is_done() );
    CHECK_FALSE( watch.on_wait( 1s ) );
    CHECK_FALSE( watch.on_choice( { 1s, 400ms, 0ms, 0ms } ) );
}

TEST_CASE( "a request without an objective is never late",
           "[scheduling][lateness]" )
{
    CHECK_FALSE( lateness_watch( 0s ).on_choice( { 9s, 9s, 0s, 0s } ) );
    CHECK_FALSE( lateness_watch().on_wait( 9s ) );
}
