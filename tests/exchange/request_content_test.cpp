#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/request_content.hpp>

#include <catch2/catch.hpp>

using namespace tests;

TEST_CASE( "what a caller asks for has one id over all of its tries",
           "[exchange][content]" )
{
    auto f = exchange_fixture{};
    auto const workspace = core::workspace_id( "ws" );
    auto first = f.request( "/chat/a?b=1" );
    first.body = "prompt";
    auto const id = exchange::content_of( first, workspace );
    auto again = f.request( "/chat/a?b=1" );
    again.body = "prompt";
    again.time_limit = std::chrono::seconds( 1 );
    again.last_event = 3;
    REQUIRE( first.id != again.id );
    CHECK( exchange::content_of( again, workspace ) == id );

    SECTION( "another body is another content" )
    {
        again.body = "prompt2";
        CHECK( exchange::content_of( again, workspace ) != id );
    }
    SECTION( "so is another query" )
    {
        again.target = "/chat/a?b=2";
        CHECK( exchange::content_of( again, workspace ) != id );
    }
    SECTION( "so is another caller's" )
    {
        CHECK( exchange::content_of( again, core::workspace_id( "other" ) ) !=
               id );
    }
    SECTION( "text that moves from the path to the body gives another id" )
    {
        again.target = "/chat/a?b=";
        again.body = "1prompt";
        CHECK( exchange::content_of( again, workspace ) != id );
    }
    CHECK( exchange::to_string( id ).size() == 16 );
}
