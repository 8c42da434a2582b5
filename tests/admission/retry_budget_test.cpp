#include <pollenstream/admission/retry_budget.hpp>

#include <catch2/catch.hpp>

using pollenstream::admission::retry_budget;

namespace
{

auto take_all( retry_budget& budget ) -> int
{
    auto taken = 0;
    while ( budget.take() )
        ++taken;
    return taken;
}

}

TEST_CASE( "a retry that was not sent returns to the budget",
           "[admission][retries]" )
{
    auto budget = retry_budget{};
    auto const max_retries = take_all( budget );
    REQUIRE( max_retries > 0 );
    budget.give_back();
    CHECK( take_all( budget ) == 1 );

    SECTION( "returned retries do not raise the budget above its maximum" )
    {
        for ( auto i = 0; i < 2 * max_retries; ++i )
            budget.give_back();
        CHECK( take_all( budget ) == max_retries );
    }
}
