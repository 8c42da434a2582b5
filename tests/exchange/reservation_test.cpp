#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Starts a request whose prompt exceeds one engine's memory.
auto start_split_request( exchange_fixture& f )
    -> std::shared_ptr<exchange::exchange>
{
    auto r = f.request( "/audit/x" );
    r.time_limit = 15s;
    r.prompt = exchange::prompt_properties{ 500'000, 1'000, 0 };
    // Three engines prefill 500,000 tokens in about four seconds, so the
    // request has to be placed by now to end within its time limit.
    auto started = f.start( r );
    f.scheduler.run( 9'500ms );
    return started;
}

auto const ignore_expiry = []( core::target_id const& ) {};

/// Lets all reservation calls so far succeed.
auto complete_all( exchange_fixture& f ) -> void
{
    auto const calls = f.reservations.reserved;
    for ( auto const& call : calls )
        call.callback( core::success() );
}

}

TEST_CASE(
    "a prompt that exceeds one engine's memory reserves memory at several",
    "[reservation]" )
{
    auto f = exchange_fixture{};
    for ( auto i = 4; i < 10; ++i )
        f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
    auto const split_request = start_split_request( f );
    REQUIRE( f.reservations.reserved.size() >= 2 );
    CHECK( f.targets.all.empty() );
    complete_all( f );
    REQUIRE( f.targets.all.size() == 1 );
    auto const reserved = f.reservations.reserved.size();
    auto tokens = std::int64_t{ 0 };
    for ( auto const& call : f.reservations.reserved )
    {
        tokens += call.place.tokens;
        CHECK( call.place.tokens < 450'000 );
        CHECK( f.targets.all[0]->request.head->find( "/" + call.id.str() ) !=
               std::string::npos );
    }
    CHECK( tokens >= 501'000 );

    SECTION( "all memory is released when the answer is complete" )
    {
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->event( 1 );
        f.targets.all[0]->complete();
    }
    SECTION( "all memory is released when the caller disconnects" )
    {
        split_request->on_caller_gone();
    }
    SECTION( "all memory is released when the process ends" )
    {
        split_request->abandon( "process_ends" );
    }
    SECTION( "all memory is released when the time limit is reached" )
    {
        f.scheduler.run( 15s );
    }
    CHECK( f.reservations.released.size() == reserved );
    for ( auto const& call : f.reservations.released )
        call.callback( core::success() );
}

TEST_CASE( "a reservation that fails at one target is released at all",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 },
        { core::target_id( "m2" ), {}, 100 } };
    auto result = std::optional<bool>{};
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s );
    group->start(
        [&]( auto status )
        {
            result = !status.has_error();
        },
        ignore_expiry );
    REQUIRE( client.reserved.size() == 2 );
    CHECK( client.reserved[0].hold <= 3'500ms );
    client.reserved[0].callback( core::success() );
    CHECK_FALSE( result );
    client.reserved[1].callback(
        core::error{ core::error_code::conflict, "full" } );
    REQUIRE( result );
    CHECK_FALSE( *result );
    CHECK( client.released.size() == 2 );
}

TEST_CASE( "the renewal period does not depend on the hold time",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 } };
    // The hold time is short, as for a request that is close to its deadline.
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 700ms );
    group->start( []( auto ) {}, ignore_expiry );
    client.reserved[0].callback( core::success() );
    scheduler.run( 6s );
    // Each call is work for the target, so a short hold time must not cause
    // more renewals.
    CHECK( client.reserved.size() == 5 );
    group->release();
    scheduler.run( 6s );
    CHECK( client.reserved.size() == 5 );
}

TEST_CASE( "a failed renewal is retried before the reservation expires",
           "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 10s );
    group->start( []( auto ) {}, ignore_expiry );
    client.reserved[0].callback( core::success() );
    scheduler.run( 1'600ms );
    REQUIRE( client.reserved.size() == 2 );
    auto const timed_out =
        core::error{ core::error_code::timed_out, "no answer" };
    client.reserved[1].callback( timed_out );
    scheduler.run( 400ms );
    REQUIRE( client.reserved.size() == 3 );
    SECTION( "until it succeeds" )
    {
        client.reserved[2].callback( core::success() );
        scheduler.run( 500ms );
        CHECK( client.reserved.size() == 3 );
    }
    SECTION( "with at most three attempts in a renewal period" )
    {
        client.reserved[2].callback( timed_out );
        scheduler.run( 400ms );
        REQUIRE( client.reserved.size() == 4 );
        client.reserved[3].callback( timed_out );
        scheduler.run( 400ms );
        CHECK( client.reserved.size() == 4 );
    }
    SECTION( "unless the memory has been released" )
    {
        client.reserved[2].callback( timed_out );
        group->release();
        scheduler.run( 400ms );
        CHECK( client.reserved.size() == 3 );
    }
    group->release();
}

TEST_CASE( "a failed release is retried", "[reservation]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s );
    group->start( []( auto ) {}, ignore_expiry );
    client.reserved[0].callback( core::success() );
    group->release();
    group->release();
    REQUIRE( client.released.size() == 1 );
    client.released[0].callback(
        core::error{ core::error_code::timed_out, "lost" } );
    scheduler.run( 1s );
    REQUIRE( client.released.size() == 2 );
    client.released[1].callback( core::success() );
    scheduler.run( 5s );
    CHECK( client.released.size() == 2 );
}

namespace
{

/// A target that carries out calls when the test says so.
struct late_target
{
    auto carry_out( recorded_reservations::reservation_call const& call,
                    core::instant now ) -> void
    {
        held_until = now + call.hold;
    }
    /// Carries out the releases since the last call, all at once.
    auto carry_out_releases( recorded_reservations const& client ) -> void
    {
        if ( client.released.size() > releases_seen )
            held_until = {};
        releases_seen = client.released.size();
    }

    core::instant held_until;
    std::size_t releases_seen{ 0 };
};

}

// Guards against memory that stays reserved for an ended request because its
// target has carried out a renewal after the release.
TEST_CASE( "a renewal that is carried out after the release holds no memory",
           "[reservation][late]" )
{
    auto const delay = GENERATE( 2s, 4s, 7s, 10s, 12s );
    auto const is_lost = GENERATE( true, false );
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s );
    group->start( []( auto ) {}, ignore_expiry );
    client.reserved[0].callback( core::success() );
    scheduler.run( 1'500ms );
    REQUIRE( client.reserved.size() == 2 );
    auto const renewal = client.reserved[1];
    auto const carried_out_at = scheduler.now() + delay;
    // The request ends while the renewal is open, or after it has failed.
    if ( is_lost )
        renewal.callback( core::error{ core::error_code::timed_out, "" } );
    scheduler.run( 100ms );
    group->release();
    if ( !is_lost )
        renewal.callback(
            core::error{ core::error_code::connection_lost, "" } );
    auto target = late_target{};
    auto held_for = core::duration( 0 );
    auto is_carried_out = false;
    constexpr auto step = core::duration( 100ms );
    for ( auto passed = core::duration( 0 ); passed < 20s; passed += step )
    {
        target.carry_out_releases( client );
        if ( scheduler.now() >= carried_out_at &&
             !std::exchange( is_carried_out, true ) )
            target.carry_out( renewal, scheduler.now() );
        held_for +=
            scheduler.now() < target.held_until ? step : core::duration( 0 );
        scheduler.run( step );
        for ( auto const& call : std::vector( client.released ) )
            call.callback( core::success() );
    }
    CHECK( is_carried_out );
    CHECK( held_for < 2s );
    // The releases come to an end.
    CHECK( client.released.size() <= 16 );
}

TEST_CASE( "a release is not repeated where each renewal was answered",
           "[reservation][late]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    client.answers_at_once = true;
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 },
        { core::target_id( "m2" ), {}, 100 } };
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s );
    group->start( []( auto ) {}, ignore_expiry );
    scheduler.run( 5s );
    group->release();
    scheduler.run( 20s );
    CHECK( client.released.size() == 2 );
}

TEST_CASE( "memory is released everywhere once one target has dropped its own",
           "[reservation]" )
{
    // Without this, a target that is out of reach keeps the memory of all
    // others reserved for as long as its silence is tolerated.
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 },
        { core::target_id( "m2" ), {}, 100 } };
    auto expired_at = std::vector<std::string>{};
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s );
    group->start( []( auto ) {},
                  [&]( auto const& target )
                  {
                      expired_at.push_back( target.str() );
                  } );
    client.reserved[0].callback( core::success() );
    client.reserved[1].callback( core::success() );
    // From here on, `m1` answers nothing.
    auto answered = std::size_t{ 2 };
    auto const run_without_m1 = [&]( core::duration time )
    {
        for ( auto at = 0ms; at < time; at += 100ms )
        {
            scheduler.run( 100ms );
            for ( ; answered < client.reserved.size(); ++answered )
            {
                auto const call = client.reserved[answered];
                if ( call.place.target == core::target_id( "m1" ) )
                    call.callback( core::error{ core::error_code::timed_out,
                                                "no answer" } );
                else
                    call.callback( core::success() );
            }
        }
    };
    run_without_m1( 3'400ms );
    CHECK( expired_at.empty() );
    CHECK( client.released.empty() );
    run_without_m1( 200ms );
    CHECK( expired_at == std::vector<std::string>{ "m1" } );
    CHECK( client.released.size() == 2 );
    auto const calls = client.reserved.size();
    run_without_m1( 5s );
    CHECK( expired_at.size() == 1 );
    CHECK( client.reserved.size() == calls );
}

// Guards against memory that stays reserved at sound targets because the one
// that got the request hangs: it reserves and renews, but never begins.
TEST_CASE( "memory that is not used in time is released",
           "[reservation][unused]" )
{
    auto scheduler = held_scheduler{};
    auto client = recorded_reservations{};
    client.answers_at_once = true;
    auto const targets = std::vector<exchange::target_memory>{
        { core::target_id( "m1" ), {}, 100 },
        { core::target_id( "m2" ), {}, 100 } };
    auto expired = std::vector<core::target_id>{};
    auto const group = std::make_shared<exchange::reservation_group>(
        client, scheduler, core::reservation_id( "r" ), targets, 20s, 8s );
    group->start( []( auto ) {},
                  [&]( auto const& target )
                  {
                      expired.push_back( target );
                  } );
    scheduler.run( 7'900ms );
    CHECK( client.released.empty() );
    SECTION( "the first target is the reason" )
    {
        scheduler.run( 200ms );
        CHECK( client.released.size() == 2 );
        CHECK( expired ==
               std::vector<core::target_id>{ core::target_id( "m1" ) } );
        auto const renewals = client.reserved.size();
        scheduler.run( 10s );
        CHECK( client.reserved.size() == renewals );
        CHECK( expired.size() == 1 );
    }
    SECTION( "unless the request has come to use it" )
    {
        group->note_used();
        scheduler.run( 4s );
        CHECK( client.released.empty() );
        CHECK( expired.empty() );
        group->release();
    }
}

TEST_CASE( "a split request that its target does not begin is tried elsewhere",
           "[reservation][unused]" )
{
    auto f = exchange_fixture{};
    f.reservations.answers_at_once = true;
    for ( auto i = 4; i < 14; ++i )
        f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
    auto r = f.request( "/audit/x" );
    r.time_limit = 15s;
    r.prompt = exchange::prompt_properties{ 500'000, 1'000, 0 };
    auto const started = f.start( r );
    for ( auto waited = 0ms; f.targets.all.empty() && waited < 10s;
          waited += 100ms )
        f.scheduler.run( 100ms );
    REQUIRE( f.targets.all.size() == 1 );
    auto const reserved = f.reservations.reserved.size();
    SECTION( "its memory is released before operators count it as stuck" )
    {
        f.scheduler.run( 9s );
        CHECK( f.targets.all[0]->cancelled );
        CHECK( f.reservations.released.size() >= reserved );
    }
    SECTION( "unless its first event has come" )
    {
        f.scheduler.run( 3s );
        f.targets.all[0]->head( 200 );
        f.targets.all[0]->event( 1 );
        f.scheduler.run( 500ms );
        CHECK_FALSE( f.targets.all[0]->cancelled );
        CHECK( f.reservations.released.empty() );
    }
    started->on_caller_gone();
}

TEST_CASE( "a request whose reservation has expired is not waited for",
           "[reservation][silence]" )
{
    auto f = exchange_fixture{};
    for ( auto i = 4; i < 10; ++i )
        f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
    auto const split_request = start_split_request( f );
    complete_all( f );
    REQUIRE( f.targets.all.size() == 1 );
    auto const reserved = f.reservations.reserved.size();
    // No renewal is answered, and the target sends nothing.
    f.scheduler.run( 3'600ms );
    CHECK( f.reservations.released.size() >= reserved );
    CHECK( f.targets.all[0]->cancelled );
    // The request may have run, so that it is not refused as not run.
    f.scheduler.run( 15s );
    CHECK( f.answer->whole.status != 503 );
}

TEST_CASE( "an instance that restarts reserves under names of its own",
           "[reservation]" )
{
    auto first_name = []
    {
        auto f = exchange_fixture{};
        for ( auto i = 4; i < 10; ++i )
            f.loads.put( make_target( "m" + std::to_string( i ), "model" ) );
        auto const split_request = start_split_request( f );
        REQUIRE( f.reservations.reserved.size() >= 2 );
        auto const name = f.reservations.reserved.front().id;
        split_request->on_caller_gone();
        return name;
    };
    auto const former = first_name();
    CHECK( first_name() != former );
}
