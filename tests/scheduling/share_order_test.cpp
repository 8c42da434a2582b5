#include "support/exchange_fixture.hpp"
#include <pollenstream/peers/peer_message.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Tokens of a prompt whose prefill alone fills one engine, and of one that is
/// split over several.
constexpr auto full_engine = 60'000;
constexpr auto split = 150'000;

/// A coordinator with `engines` engines and a configuration with several
/// workspaces, of which workspace 1 has been granted more than its share.
struct share_fixture : exchange_fixture
{
    explicit share_fixture( int engines, bool has_shares = true )
    {
        if ( has_shares )
        {
            auto const c = std::make_shared<exchange::route_configuration>(
                *context.configuration );
            c->add_workspace( { core::workspace_id( "other" ), std::nullopt },
                              { "other key" } );
            coordinator.set_configuration( c );
        }
        for ( auto const* id : { "m1", "m2", "m3" } )
            loads.remove( core::target_id( id ) );
        for ( auto i = 0; i < engines; ++i )
            loads.put( make_target( "e" + std::to_string( i ), "model" ) );
    }

    auto request( int workspace, std::int64_t tokens, int priority = 0 )
        -> std::shared_ptr<recorded_placement>
    {
        auto r = exchange::placement_request{};
        r.requester = core::instance_id( "a" );
        r.serial = ++last_serial;
        r.workspace = pollenstream::scheduling::workspace_number( workspace );
        r.priority = priority;
        r.demand.service = core::service_id( "model" );
        r.demand.prompt_tokens = tokens;
        r.demand.output_tokens = 1'000;
        r.demand.latency_objective = 3s;
        r.demand.gap_objective = 800ms;
        r.demand.min_gap_objective = 200ms;
        r.demand.time_left = 15s;
        r.demand.patience_left = 2s;
        auto answer = std::make_shared<recorded_placement>();
        answers[last_serial] = answer;
        coordinator.request( std::move( r ), answer );
        return answer;
    }
    /// Fills all engines with work of workspace 1, until a request of it waits.
    auto overload() -> void
    {
        for ( auto i = 0; i < 20; ++i )
            if ( request( 1, full_engine )->queued == 1 )
                return;
        FAIL( "the engines have room for 20 prompts" );
    }
    /// All granted work ends.
    auto end_work() -> void
    {
        for ( auto serial = std::uint64_t{ 1 }; serial <= last_serial;
              ++serial )
            if ( !answers[serial]->grants.empty() )
                coordinator.release( core::instance_id( "a" ), serial );
    }
    /// Advances until one of the requests is decided.
    auto run_until_decided(
        std::vector<std::shared_ptr<recorded_placement>> const& any ) -> void
    {
        auto const is_decided = []( auto const& answer )
        {
            return !answer->grants.empty() || !answer->refusals.empty();
        };
        for ( auto i = 0; i < 400; ++i )
        {
            if ( std::any_of( any.begin(), any.end(), is_decided ) )
                return;
            scheduler.run( 5ms );
        }
    }
    auto changes_of_workspaces() const -> std::vector<exchange::state_change>
    {
        auto found = std::vector<exchange::state_change>{};
        for ( auto const& e : log.all )
            if ( auto const* change = std::get_if<exchange::state_change>( &e );
                 change != nullptr && change->what == "workspace" )
                found.push_back( *change );
        return found;
    }

    std::uint64_t last_serial{ 0 };
    std::map<std::uint64_t, std::shared_ptr<recorded_placement>> answers;
};

}

TEST_CASE( "a request within its workspace's share goes before older ones of a "
           "workspace over it",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1 );
    f.overload();
    auto const of_heavy = f.answers[f.last_serial];
    f.scheduler.run( 20ms );
    auto const of_other = f.request( 2, full_engine );
    f.run_until_decided( { of_heavy, of_other } );
    CHECK( of_other->grants.size() == 1 );
    CHECK( of_heavy->grants.empty() );
    CHECK( f.coordinator.counters().yielded_for_share.value() == 1 );
    // It is only later, not left out.
    f.run_until_decided( { of_heavy } );
    CHECK( of_heavy->grants.size() == 1 );
}

TEST_CASE( "with one workspace in the configuration the order is by due time",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1, false );
    f.overload();
    auto const first = f.answers[f.last_serial];
    f.scheduler.run( 20ms );
    auto const second = f.request( 2, full_engine );
    f.run_until_decided( { first, second } );
    CHECK( first->grants.size() == 1 );
    CHECK( second->grants.empty() );
    CHECK( f.coordinator.workspaces_over_share() == 0 );
    CHECK( f.coordinator.largest_shares( 10 ).empty() );
}

TEST_CASE( "a new request of a workspace over its share does not pass waiting "
           "ones",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1 );
    f.overload();
    auto const of_other = f.request( 2, full_engine );
    f.scheduler.run( 20ms );
    REQUIRE( of_other->grants.empty() );
    // The engine is free before the next round.
    f.end_work();
    auto const newcomer = f.request( 1, full_engine );
    CHECK( newcomer->grants.empty() );
    f.scheduler.run( 5ms );
    CHECK( of_other->grants.size() == 1 );
}

TEST_CASE( "a workspace over its share gets the capacity that nobody else asks "
           "for",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 2 );
    f.overload();
    REQUIRE( f.request( 2, full_engine )->queued == 1 );
    f.scheduler.run( 20ms );
    REQUIRE( f.coordinator.workspaces_over_share() == 1 );
    // Both engines are free: the one that is left is not kept for others.
    f.end_work();
    f.queue.schedule_round();
    f.scheduler.run( 2ms );
    CHECK( f.coordinator.waiting() == 0 );
}

TEST_CASE( "priority goes before shares until a request has waited for half of "
           "its patience",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1 );
    f.overload();
    auto const bulk = f.request( 2, full_engine, 2 );
    SECTION( "it has just arrived" )
    {
        auto const urgent = f.request( 1, full_engine, 0 );
        f.run_until_decided( { bulk, urgent } );
        CHECK( urgent->grants.size() == 1 );
        CHECK( bulk->grants.empty() );
    }
    SECTION( "it has waited for more than a second of two" )
    {
        auto waited = core::duration( 0 );
        // Urgent requests of the workspace over its share keep the engine busy.
        for ( auto i = 0; i < 100 && bulk->grants.empty(); ++i )
        {
            f.request( 1, full_engine, 0 );
            f.request( 1, full_engine, 0 );
            f.end_work();
            f.scheduler.run( 20ms );
            REQUIRE( f.coordinator.waiting() > 0 );
            waited += 20ms;
        }
        CHECK( bulk->grants.size() == 1 );
        CHECK( waited > 1s );
        CHECK( waited < 1100ms );
    }
}

TEST_CASE( "a split prompt within its share is not refused in favour of one of "
           "a workspace over it",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 2 );
    f.overload();
    auto const in_time = f.request( 1, split );
    REQUIRE( in_time->queued == 1 );
    f.request( 2, 1'000 );
    f.scheduler.run( 20ms );
    REQUIRE( f.coordinator.workspaces_over_share() == 1 );
    auto const late = [&f]( int workspace )
    {
        auto r = exchange::placement_request{};
        r.requester = core::instance_id( "a" );
        r.serial = ++f.last_serial;
        r.workspace = pollenstream::scheduling::workspace_number( workspace );
        r.demand.service = core::service_id( "model" );
        r.demand.prompt_tokens = split;
        r.demand.output_tokens = 1'000;
        r.demand.latency_objective = 3s;
        r.demand.waited = 2900ms;
        r.demand.gap_objective = 800ms;
        r.demand.min_gap_objective = 200ms;
        r.demand.time_left = 12s;
        r.demand.patience_left = 9s;
        auto answer = std::make_shared<recorded_placement>();
        f.coordinator.request( std::move( r ), answer );
        return answer;
    };
    CHECK( late( 3 )->refusals.empty() );
    // Without shares it is refused, as another one can be in time.
    f.coordinator.set_configuration( f.context.configuration );
    CHECK( late( 3 )->refusals.size() == 1 );
}

TEST_CASE( "the log says when a workspace goes over its share and back",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1 );
    f.overload();
    for ( auto i = 0; i < 11; ++i )
    {
        f.request( 1, full_engine );
        f.request( 2, 1'000 );
        f.scheduler.run( 100ms );
    }
    auto const changes = f.changes_of_workspaces();
    REQUIRE( changes.size() == 1 );
    CHECK( changes[0].name == "1" );
    CHECK( changes[0].now == "over_share" );
    f.scheduler.run( 10s );
    REQUIRE( f.changes_of_workspaces().size() == 2 );
    CHECK( f.changes_of_workspaces()[1].now == "within_share" );
    CHECK( f.coordinator.workspaces_over_share() == 0 );
}

TEST_CASE( "a coordinator that has just started keeps the order by due time",
           "[shares][coordinator]" )
{
    auto f = share_fixture( 1 );
    // The load table knows the work; the coordinator has granted none of it.
    auto work = exchange::open_work{};
    work.serial = 900;
    work.parts = { { core::target_id( "e0" ), 300, 60'000, {} } };
    f.loads.add_work( core::instance_id( "b" ), work, f.scheduler.now() );
    auto const first = f.request( 1, full_engine );
    f.scheduler.run( 20ms );
    auto const second = f.request( 2, full_engine );
    f.run_until_decided( { first, second } );
    CHECK( first->grants.size() == 1 );
    CHECK( second->grants.empty() );
}

TEST_CASE( "a placement request carries the number of the caller's workspace",
           "[shares]" )
{
    auto placements = held_placements{};
    auto f = exchange_fixture( placements );
    auto const started = f.start( f.request( "/chat/x" ) );
    REQUIRE( placements.all.size() == 1 );
    auto const expected =
        pollenstream::scheduling::number_of( core::workspace_id( "ws" ) );
    CHECK( placements.all[0].request.workspace == expected );
    auto message = peers::peer_message{};
    message.placement_requests.push_back( placements.all[0].request );
    auto const decoded = peers::decode( peers::encode( message ) );
    REQUIRE( decoded.has_value() );
    REQUIRE( decoded.value().placement_requests.size() == 1 );
    CHECK( decoded.value().placement_requests[0].workspace == expected );
    started->on_caller_gone();
}
