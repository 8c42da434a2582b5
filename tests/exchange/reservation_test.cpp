#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// An audit that is larger than one engine's memory, sent by a caller.
auto start_large( exchange_fixture& f ) -> std::shared_ptr<exchange::exchange>
{
    auto r = f.request( "/audit/x" );
    r.time_limit = 15s;
    r.prompt = exchange::prompt_properties{ 500'000, 1'000, 0 };
    // Three engines read half a million tokens in about four seconds: the
    // last chance before the caller leaves.
    auto started = f.start( r );
    f.scheduler.run( 9'500ms );
    return started;
}

auto grant_all( exchange_fixture& f ) -> void
{
    auto const orders = f.reservations.reserved;
    for ( auto const& order : orders )
        order.callback( core::success() );
}

}

TEST_CASE( "a prompt over one engine's memory is held by several",
           "[reservation]" )
{
    auto f = exchange_fixture{};
    for ( auto i = 4; i < 10; ++i )
        f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
    auto const large = start_large( f );
    REQUIRE( f.reservations.reserved.size() >= 2 );
    CHECK( f.targets.all.empty() );
    grant_all( f );
    REQUIRE( f.targets.all.size() == 1 );
    auto const places = f.reservations.reserved.size();
    auto tokens = std::int64_t{ 0 };
    for ( auto const& order : f.reservations.reserved )
    {
        tokens += order.place.tokens;
        CHECK( order.place.tokens < 450'000 );
        CHECK( f.targets.all[0]->request.text->find( "/" + order.id.str() ) !=
               std::string::npos );
    }
    CHECK( tokens >= 501'000 );

    SECTION( "everything is given back when the answer is whole" )
    {
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->event( 1 );
        f.targets.all[0]->complete();
    }
    SECTION( "everything is given back when the caller leaves" )
    {
        large->on_caller_gone();
    }
    SECTION( "everything is given back when the process ends" )
    {
        large->abandon( "process_ends" );
    }
    SECTION( "everything is given back when the time is over" )
    {
        f.scheduler.run( 15s );
    }
    CHECK( f.reservations.released.size() == places );
    for ( auto const& order : f.reservations.released )
        order.callback( core::success() );
}

TEST_CASE( "where one target has no room the others get theirs back",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto caller = recorded_reservations{};
    auto const places = std::vector<exchange::reservation_place>{
        { core::target_id( "m1" ), {}, 100 },
        { core::target_id( "m2" ), {}, 100 } };
    auto result = std::optional<bool>{};
    auto const group = std::make_shared<exchange::reservation_group>(
        caller, scheduler, core::reservation_id( "r" ), places, 20s );
    group->start(
        [&]( auto status )
        {
            result = !status.has_error();
        } );
    REQUIRE( caller.reserved.size() == 2 );
    CHECK( caller.reserved[0].hold <= 3'500ms );
    caller.reserved[0].callback( core::success() );
    CHECK_FALSE( result );
    caller.reserved[1].callback(
        core::error{ core::error_code::conflict, "full" } );
    REQUIRE( result );
    CHECK_FALSE( *result );
    CHECK( caller.released.size() == 2 );
}

TEST_CASE( "a hold in use is renewed at its own pace", "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto caller = recorded_reservations{};
    auto const places = std::vector<exchange::reservation_place>{
        { core::target_id( "m1" ), {}, 100 } };
    // A request with little time left; its hold is short.
    auto const group = std::make_shared<exchange::reservation_group>(
        caller, scheduler, core::reservation_id( "r" ), places, 700ms );
    group->start( []( auto ) {} );
    caller.reserved[0].callback( core::success() );
    scheduler.run( 6s );
    // Orders cost the target: five in six seconds, not thousands.
    CHECK( caller.reserved.size() == 5 );
    group->release();
    scheduler.run( 6s );
    CHECK( caller.reserved.size() == 5 );
}

TEST_CASE( "a renewal that fails is made again before the hold ends",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto caller = recorded_reservations{};
    auto const places = std::vector<exchange::reservation_place>{
        { core::target_id( "m1" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        caller, scheduler, core::reservation_id( "r" ), places, 10s );
    group->start( []( auto ) {} );
    caller.reserved[0].callback( core::success() );
    scheduler.run( 1'600ms );
    REQUIRE( caller.reserved.size() == 2 );
    auto const lost = core::error{ core::error_code::timed_out, "no answer" };
    caller.reserved[1].callback( lost );
    scheduler.run( 400ms );
    REQUIRE( caller.reserved.size() == 3 );
    SECTION( "until it is done" )
    {
        caller.reserved[2].callback( core::success() );
        scheduler.run( 500ms );
        CHECK( caller.reserved.size() == 3 );
    }
    SECTION( "three times in a period at most" )
    {
        caller.reserved[2].callback( lost );
        scheduler.run( 400ms );
        REQUIRE( caller.reserved.size() == 4 );
        caller.reserved[3].callback( lost );
        scheduler.run( 400ms );
        CHECK( caller.reserved.size() == 4 );
    }
    SECTION( "unless the memory has been given back" )
    {
        caller.reserved[2].callback( lost );
        group->release();
        scheduler.run( 400ms );
        CHECK( caller.reserved.size() == 3 );
    }
    group->release();
}

TEST_CASE( "memory that could not be given back is released again",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto caller = recorded_reservations{};
    auto const places = std::vector<exchange::reservation_place>{
        { core::target_id( "m1" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        caller, scheduler, core::reservation_id( "r" ), places, 20s );
    group->start( []( auto ) {} );
    caller.reserved[0].callback( core::success() );
    group->release();
    group->release();
    REQUIRE( caller.released.size() == 1 );
    caller.released[0].callback(
        core::error{ core::error_code::timed_out, "lost" } );
    scheduler.run( 1s );
    REQUIRE( caller.released.size() == 2 );
    caller.released[1].callback( core::success() );
    scheduler.run( 5s );
    CHECK( caller.released.size() == 2 );
}
