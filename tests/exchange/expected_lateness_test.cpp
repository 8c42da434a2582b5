#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
using pollenstream::scheduling::lateness_reason;

namespace
{

/// An instance whose placement requests the test answers. `/chat/` has a
/// latency objective of 300 ms.
struct lateness_fixture
{
    /// Answers the last placement request with `target`.
    auto grant( char const* target, double first_event_ms, double backlog_ms )
        -> void
    {
        auto const last = placements.all.back();
        auto granted = exchange::placement_grant{};
        granted.serial = last.request.serial;
        granted.choice.targets = { f.loads.find( core::target_id( target ) ) };
        granted.choice.parts = { { core::target_id( target ), 20, 6'000 } };
        granted.choice.first_event_ms = first_event_ms;
        granted.choice.basis.backlog_ms = backlog_ms;
        last.listener->on_granted( std::move( granted ) );
    }

    [[nodiscard]] auto reports() const
        -> std::vector<exchange::lateness_expected>
    {
        auto found = std::vector<exchange::lateness_expected>{};
        for ( auto const& e : f.log.all )
            if ( auto const* late =
                     std::get_if<exchange::lateness_expected>( &e ) )
                found.push_back( *late );
        return found;
    }

    held_placements placements;
    exchange_fixture f{ placements };
    std::shared_ptr<exchange::exchange> open{
        f.start( f.request( "/chat/" ) ) };
};

}

// Guards against a caller that complains before any line names it.
TEST_CASE( "a request with a late prediction is reported when it is placed",
           "[exchange][log][lateness]" )
{
    auto t = lateness_fixture{};
    t.f.scheduler.run( 50ms );
    t.grant( "m1", 400, 300 );
    REQUIRE( t.reports().size() == 1 );
    auto const late = t.reports().front();
    CHECK( late.id.str() == "1" );
    CHECK( late.workspace.str() == "ws" );
    CHECK( late.route == "chat" );
    CHECK( late.waited == 50ms );
    CHECK( late.predicted == core::duration( 400ms ) );
    CHECK( late.latency_objective == 300ms );
    CHECK( late.reason == lateness_reason::backlog );
    // Its target is lost; the next prediction is late as well.
    t.f.targets.all[0]->lose();
    t.grant( "m2", 400, 0 );
    t.f.scheduler.run( 500ms );
    CHECK( t.reports().size() == 1 );
    t.open->on_caller_gone();
}

TEST_CASE( "a request without a target is reported when its objective passes",
           "[exchange][log][lateness]" )
{
    auto t = lateness_fixture{};
    t.f.scheduler.run( 299ms );
    CHECK( t.reports().empty() );
    t.f.scheduler.run( 1ms );
    REQUIRE( t.reports().size() == 1 );
    CHECK( t.reports().front().reason == lateness_reason::waited );
    CHECK( t.reports().front().waited == 300ms );
    CHECK_FALSE( t.reports().front().predicted );
    t.grant( "m1", 400, 0 );
    CHECK( t.reports().size() == 1 );
    t.open->on_caller_gone();
}

// The engine of a request that was placed in time is lost. Guards against a
// second wait that nobody is told of.
TEST_CASE( "a request that waits for another target is reported as well",
           "[exchange][log][lateness]" )
{
    auto t = lateness_fixture{};
    t.grant( "m1", 100, 0 );
    t.f.scheduler.run( 200ms );
    t.f.targets.all[0]->lose();
    CHECK( t.reports().empty() );
    t.f.scheduler.run( 100ms );
    CHECK( t.reports().size() == 1 );
    t.open->on_caller_gone();
}

TEST_CASE( "a request that can be in time is not reported as late",
           "[exchange][log][lateness]" )
{
    auto t = lateness_fixture{};
    t.f.scheduler.run( 100ms );
    t.grant( "m1", 200, 0 );
    SECTION( "while it runs" )
    {
        t.f.scheduler.run( 1s );
    }
    SECTION( "when it is sent again after its first event" )
    {
        t.f.targets.all[0]->head( 200 );
        t.f.targets.all[0]->event( 0 );
        t.f.scheduler.run( 100ms );
        t.f.targets.all[0]->lose();
        t.f.scheduler.run( 200ms );
        t.grant( "m2", 500, 0 );
    }
    CHECK( t.reports().empty() );
    t.open->on_caller_gone();
}

TEST_CASE( "the events of an ended and a refused request name its workspace",
           "[exchange][log]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/safe/x" ) );
    f.targets.all[0]->reject();
    f.targets.all[1]->reject();
    auto named = 0;
    for ( auto const& e : f.log.all )
        std::visit(
            [&named]( auto const& what )
            {
                if constexpr ( requires { what.workspace; } )
                {
                    CHECK( what.workspace.str() == "ws" );
                    ++named;
                }
            },
            e );
    CHECK( named == 2 );
}
