#include <pollenstream/admission/retry_budget.hpp>

#include <catch2/catch.hpp>

using pollenstream::admission::retry_budget;

namespace
{

auto use_up( retry_budget& budget ) -> int
{
    auto taken = 0;
    while ( budget.take() )
        ++taken;
    return taken;
}

}

TEST_CASE( "a repeat that was not sent is left to others",
           "[admission][retries]" )
{
    auto budget = retry_budget{};
    auto const most = use_up( budget );
    REQUIRE( most > 0 );
    budget.give_back();
    CHECK( use_up( budget ) == 1 );

    SECTION( "and no more than the budget ever holds" )
    {
        for ( auto i = 0; i < 2 * most; ++i )
            budget.give_back();
        CHECK( use_up( budget ) == most );
    }
}
