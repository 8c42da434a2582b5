#include <pollenstream/admission/admission_check.hpp>
#include <pollenstream/admission/retry_budget.hpp>
#include <pollenstream/admission/token_bucket.hpp>
#include <pollenstream/admission/workspace_limits.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace admission = pollenstream::admission;
namespace core = pollenstream::core;
namespace profiles = pollenstream::profiles;

namespace
{

auto const start = core::instant( 100s );

/// Returns how many requests are admitted in `seconds`, with an attempt every
/// 5 ms.
auto count_admitted( admission::workspace_limits& limits,
                     profiles::workspace const& workspace,
                     double share,
                     int seconds ) -> int
{
    auto count = 0;
    for ( auto now = start; now < start + std::chrono::seconds( seconds );
          now += 5ms )
    {
        auto const wait =
            limits.take( workspace, share, core::token_count( 1 ), now );
        count += wait == core::duration( 0 ) ? 1 : 0;
    }
    return count;
}

}

TEST_CASE( "a workspace may use its rate plus a short burst", "[limits]" )
{
    auto limits = admission::workspace_limits();
    auto const workspace =
        profiles::workspace{ core::workspace_id( "w" ), 1, 30, 0 };
    // 10 s at the rate of 30 requests per second, plus a burst of 2 s.
    CHECK( count_admitted( limits, workspace, 1.0, 10 ) ==
           Approx( 360 ).margin( 5 ) );
    auto third = admission::workspace_limits();
    CHECK( count_admitted( third, workspace, 1.0 / 3, 10 ) ==
           Approx( 120 ).margin( 5 ) );
}

TEST_CASE( "a refused amount can be taken after the returned time", "[limits]" )
{
    auto bucket = admission::token_bucket();
    REQUIRE( bucket.take( 20, 10, 2, start ) == core::duration( 0 ) );
    auto const wait = bucket.take( 5, 10, 2, start );
    CHECK( wait > 400ms );
    CHECK( bucket.take( 5, 10, 2, start + wait ) == core::duration( 0 ) );
}

TEST_CASE( "a prompt larger than the burst passes and delays the next ones",
           "[limits]" )
{
    auto bucket = admission::token_bucket();
    REQUIRE( bucket.take( 1'000, 10, 2, start ) == core::duration( 0 ) );
    CHECK( bucket.take( 1, 10, 2, start + 90s ) > core::duration( 0 ) );
    CHECK( bucket.take( 1, 10, 2, start + 100s ) == core::duration( 0 ) );
}

TEST_CASE( "the state of idle workspaces is removed", "[limits]" )
{
    auto limits = admission::workspace_limits();
    auto const workspace =
        profiles::workspace{ core::workspace_id( "w" ), 1, 30, 0 };
    limits.take( workspace, 1, core::token_count( 1 ), start );
    limits.forget_idle( start );
    CHECK( limits.size() == 1 );
    limits.forget_idle( start + 1s );
    CHECK( limits.size() == 0 );
}

TEST_CASE( "retries are limited to a tenth of the requests", "[retries]" )
{
    auto budget = admission::retry_budget();
    auto retries = 0;
    for ( auto i = 0; i < 10'000; ++i )
    {
        budget.note_request();
        retries += budget.take() ? 1 : 0;
    }
    CHECK( retries <= 1'100 );
    CHECK( retries >= 1'000 );
}

TEST_CASE( "a request that would miss its deadline gets a retry-after time",
           "[admission]" )
{
    CHECK_FALSE( admission::check_time( 9s, 10s ) );
    auto const late = admission::check_time( 20s, 10s );
    REQUIRE( late );
    CHECK( late->retry_after > 10s );
    auto const capacity = admission::service_capacity{ 2, 1'000, 100 };
    auto const check = [&]( std::int64_t prompt )
    {
        return admission::check_capacity(
            capacity,
            { core::token_count( prompt ), core::token_count( 1 ), 5s } );
    };
    CHECK_FALSE( check( 400 ) );
    CHECK( check( 600 )->reason == "too-late" );
    CHECK( check( 1'000 )->reason == "too-long" );
    CHECK( admission::check_capacity( {}, {} )->reason == "no-target" );
}
