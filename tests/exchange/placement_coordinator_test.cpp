#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// A coordinator with `engines` engines as its only targets.
struct coordinator_fixture : exchange_fixture
{
    explicit coordinator_fixture( int engines )
    {
        for ( auto const* id : { "m1", "m2", "m3" } )
            loads.remove( core::target_id( id ) );
        for ( auto i = 0; i < engines; ++i )
            loads.put( make_target( "e" + std::to_string( i ), "model" ) );
    }

    auto request( std::string const& requester,
                  std::uint64_t serial,
                  std::int64_t tokens,
                  exchange::content_id content = {} )
        -> std::shared_ptr<recorded_placement>
    {
        auto new_request = exchange::placement_request{};
        new_request.content = content;
        new_request.requester = core::instance_id( requester );
        new_request.serial = serial;
        new_request.demand.service = core::service_id( "model" );
        new_request.demand.prompt_tokens = tokens;
        new_request.demand.output_tokens = 1'000;
        auto const is_short = tokens < 10'000;
        new_request.demand.latency_objective = is_short ? 300ms : 3s;
        new_request.demand.gap_objective = is_short ? 200ms : 800ms;
        new_request.demand.min_gap_objective = 200ms;
        new_request.demand.time_left = 15s;
        new_request.demand.patience_left = 12s;
        auto const answer = std::make_shared<recorded_placement>();
        coordinator.request( std::move( new_request ), answer );
        return answer;
    }
    /// Gives one engine as much prefill as a prompt may wait for behind others.
    auto fill_one_engine() -> void
    {
        REQUIRE( request( "a", 1, 60'000 )->grants.size() == 1 );
    }
    auto total_memory() const -> std::int64_t
    {
        auto sum = std::int64_t{ 0 };
        for ( auto const& [id, t] : loads.all() )
            sum += t->load.memory_tokens;
        return sum;
    }
    auto total_prefilling() const -> std::int64_t
    {
        auto sum = std::int64_t{ 0 };
        for ( auto const& [id, t] : loads.all() )
            sum += t->load.parts_prefilling;
        return sum;
    }
};

}

TEST_CASE( "split prompts that arrive at the same time get different engines",
           "[coordinator][load]" )
{
    auto f = coordinator_fixture( 60 );
    // Five instances each request engines for one prompt of audit size, without
    // knowledge of the others' choices.
    auto used = std::map<std::string, int>{};
    auto granted = 0;
    for ( auto n = 0; n < 5; ++n )
    {
        auto const answer = f.request( "n" + std::to_string( n ), 1, 100'000 );
        for ( auto const& grant : answer->grants )
        {
            ++granted;
            // Part 0 is the decode target. An engine that already decodes such
            // answers is preferred for the next one, so it may repeat.
            for ( auto i = std::size_t{ 1 }; i < grant.choice.parts.size();
                  ++i )
                ++used[grant.choice.parts[i].target.str()];
        }
    }
    CHECK( granted == 5 );
    for ( auto const& [id, count] : used )
        CHECK( count == 1 );
}

TEST_CASE( "waiting requests are served in the order of their due times",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.fill_one_engine();
    auto const second = f.request( "b", 1, 60'000 );
    f.scheduler.run( 20ms );
    auto const third = f.request( "c", 1, 60'000 );
    CHECK( second->queued == 1 );
    CHECK( third->queued == 1 );
    for ( auto i = 0; i < 100 && second->grants.empty(); ++i )
        f.scheduler.run( 10ms );
    CHECK( second->grants.size() == 1 );
    CHECK( third->grants.empty() );
    f.scheduler.run( 1s );
    CHECK( third->grants.size() == 1 );
}

TEST_CASE( "a repeated placement request gets the same grant", "[coordinator]" )
{
    auto f = coordinator_fixture( 2 );
    auto const first = f.request( "a", 7, 5'000 );
    REQUIRE( first->grants.size() == 1 );
    auto const memory = f.total_memory();
    auto const again = f.request( "a", 7, 5'000 );
    REQUIRE( again->grants.size() == 1 );
    CHECK( again->grants[0].choice.parts[0].target ==
           first->grants[0].choice.parts[0].target );
    CHECK( f.total_memory() == memory );
    // The same serial of another requester is another request.
    f.request( "b", 7, 5'000 );
    CHECK( f.total_memory() > memory );
}

TEST_CASE( "no grant outlives its requester", "[coordinator]" )
{
    auto f = coordinator_fixture( 4 );
    f.request( "a", 1, 5'000 );
    f.request( "a", 2, 5'000 );
    f.request( "b", 1, 5'000 );
    auto const all = f.total_memory();
    SECTION( "released by the requester" )
    {
        f.coordinator.release( core::instance_id( "a" ), 1 );
        CHECK( f.total_memory() == all * 2 / 3 );
    }
    SECTION( "not among the open work that the requester reports" )
    {
        f.coordinator.keep_only( core::instance_id( "a" ), { 2 } );
        CHECK( f.total_memory() == all * 2 / 3 );
        CHECK( f.total_prefilling() == 2 );
    }
    SECTION( "the requester is lost" )
    {
        f.coordinator.forget( core::instance_id( "a" ) );
        CHECK( f.total_memory() == all / 3 );
    }
}

TEST_CASE( "a waiting prompt of a lost requester gets no engine",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.fill_one_engine();
    auto const pending = f.request( "b", 1, 60'000 );
    REQUIRE( f.coordinator.waiting() == 1 );
    f.coordinator.forget( core::instance_id( "b" ) );
    CHECK( f.coordinator.waiting() == 0 );
    f.coordinator.forget( core::instance_id( "a" ) );
    f.scheduler.run( 2s );
    CHECK( pending->grants.empty() );
    CHECK( f.total_prefilling() == 0 );
    CHECK( f.loads.split_prompts().size() == 0 );
}

TEST_CASE( "a request whose caller has left is dropped without an answer",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.fill_one_engine();
    f.loads.find( core::target_id( "e0" ) )->properties.leaving = true;
    auto const pending = f.request( "b", 1, 60'000 );
    f.scheduler.run( 13s );
    CHECK( f.coordinator.waiting() == 0 );
    CHECK( pending->grants.empty() );
    CHECK( pending->refusals.empty() );
}

TEST_CASE( "a request for an unknown service is refused", "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.coordinator.set_configuration( nullptr );
    auto const answer = f.request( "a", 1, 5'000 );
    REQUIRE( answer->refusals.size() == 1 );
    CHECK( answer->refusals[0].reason == "unknown_service" );
}

TEST_CASE( "a prompt that may not use the only free target delays no other",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    auto serial = std::uint64_t{ 0 };
    while ( f.request( "a", ++serial, 5'000 )->grants.size() == 1 )
    {
    }
    f.coordinator.release( core::instance_id( "a" ), serial );
    auto repeat = exchange::placement_request{};
    repeat.requester = core::instance_id( "b" );
    repeat.serial = 1;
    repeat.demand.service = core::service_id( "model" );
    repeat.demand.prompt_tokens = 1'000;
    repeat.demand.output_tokens = 1'000;
    repeat.demand.latency_objective = 200ms;
    repeat.demand.gap_objective = 200ms;
    repeat.demand.min_gap_objective = 200ms;
    repeat.demand.time_left = 15s;
    repeat.demand.patience_left = 12s;
    repeat.may_be_refused = false;
    SECTION( "the target has been tried" )
    {
        repeat.demand.tried.push_back( core::target_id( "e0" ) );
    }
    SECTION( "the target is paused for the requester" )
    {
        repeat.demand.paused.push_back( core::target_id( "e0" ) );
    }
    auto const excluded = std::make_shared<recorded_placement>();
    f.coordinator.request( repeat, excluded );
    auto const other = f.request( "c", 1, 5'000 );
    REQUIRE( other->grants.empty() );
    f.coordinator.release( core::instance_id( "a" ), 1 );
    f.queue.schedule_round();
    f.scheduler.run( 30ms );
    CHECK( other->grants.size() == 1 );
    CHECK( excluded->grants.empty() );
}

TEST_CASE( "content that crashes its engines is quarantined",
           "[coordinator][crash]" )
{
    auto f = coordinator_fixture( 4 );
    auto const content = exchange::content_id( 7 );
    auto const add_crash = [&]( std::string const& target )
    {
        f.crashes.note_crash( { { exchange::suspect_of( content ) },
                                core::target_id( target ),
                                f.scheduler.now() } );
    };
    add_crash( "x1" );
    add_crash( "x2" );
    auto const first = f.request( "a", 1, 5'000, content );
    REQUIRE( first->grants.size() == 1 );
    CHECK( first->grants[0].is_suspect );

    // The content runs once at a time until the outcome is known; other
    // contents are not affected.
    auto const second = f.request( "b", 1, 5'000, content );
    CHECK( second->grants.empty() );
    CHECK( f.request( "b", 2, 5'000 )->grants.size() == 1 );
    auto const other = f.request( "c", 1, 5'000, exchange::content_id( 8 ) );
    REQUIRE( other->grants.size() == 1 );
    CHECK_FALSE( other->grants[0].is_suspect );

    SECTION( "the run crashes its engine" )
    {
        add_crash( "x3" );
        f.coordinator.release( core::instance_id( "a" ), 1 );
        f.scheduler.run( 30ms );
        // It is not confirmed yet that the third target has ended.
        CHECK( second->grants.empty() );
        CHECK( second->refusals.empty() );
        f.crashes.note_ended( core::target_id( "x3" ) );
        f.scheduler.run( 30ms );
        REQUIRE( second->refusals.size() == 1 );
        CHECK( second->refusals[0].retry_after == 0ms );
        CHECK( f.request( "c", 2, 5'000, content )->refusals.size() == 1 );
    }
    SECTION( "the run is served" )
    {
        f.crashes.note_served( { exchange::suspect_of( content ) },
                               f.scheduler.now() );
        f.coordinator.release( core::instance_id( "a" ), 1 );
        f.scheduler.run( 30ms );
        CHECK( second->grants.size() == 1 );
    }
}
