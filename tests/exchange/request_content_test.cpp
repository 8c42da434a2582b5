#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/request_content.hpp>

#include <catch2/catch.hpp>

using namespace tests;

TEST_CASE( "all retries of a request have the same content id",
           "[exchange][content]" )
{
    auto f = exchange_fixture{};
    auto const workspace = core::workspace_id( "ws" );
    auto first = f.request( "/chat/a?b=1" );
    first.body = "prompt";
    auto const id = exchange::content_of( first, workspace );
    auto retry = f.request( "/chat/a?b=1" );
    retry.body = "prompt";
    retry.time_limit = std::chrono::seconds( 1 );
    retry.last_event = 3;
    REQUIRE( first.id != retry.id );
    CHECK( exchange::content_of( retry, workspace ) == id );

    SECTION( "another body gives another id" )
    {
        retry.body = "prompt2";
        CHECK( exchange::content_of( retry, workspace ) != id );
    }
    SECTION( "another query gives another id" )
    {
        retry.target = "/chat/a?b=2";
        CHECK( exchange::content_of( retry, workspace ) != id );
    }
    SECTION( "another workspace gives another id" )
    {
        CHECK( exchange::content_of( retry, core::workspace_id( "other" ) ) !=
               id );
    }
    SECTION( "moving text from the path to the body gives another id" )
    {
        retry.target = "/chat/a?b=";
        retry.body = "1prompt";
        CHECK( exchange::content_of( retry, workspace ) != id );
    }
    CHECK( exchange::to_string( id ).size() == 16 );
}
