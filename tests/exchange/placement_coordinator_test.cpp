#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// A coordinator before `engines` engines and nothing else.
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
        auto what = exchange::placement_request{};
        what.content = content;
        what.requester = core::instance_id( requester );
        what.serial = serial;
        what.demand.service = core::service_id( "model" );
        what.demand.prompt_tokens = tokens;
        what.demand.output_tokens = 1'000;
        auto const is_short = tokens < 10'000;
        what.demand.latency_objective = is_short ? 300ms : 3s;
        what.demand.gap_objective = is_short ? 200ms : 800ms;
        what.demand.min_gap_objective = 200ms;
        what.demand.time_left = 15s;
        what.demand.patience_left = 12s;
        auto const answer = std::make_shared<recorded_placement>();
        coordinator.request( std::move( what ), answer );
        return answer;
    }
    /// As much as one engine reads within the longest time that a prompt may
    /// take behind others.
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
    auto total_reading() const -> std::int64_t
    {
        auto sum = std::int64_t{ 0 };
        for ( auto const& [id, t] : loads.all() )
            sum += t->load.parts_prefilling;
        return sum;
    }
};

}

TEST_CASE( "wide prompts that come at the same moment get different engines",
           "[coordinator][load]" )
{
    auto f = coordinator_fixture( 60 );
    // Five instances have an audit each; nobody has heard of another's choice.
    auto used = std::map<std::string, int>{};
    auto granted = 0;
    for ( auto n = 0; n < 5; ++n )
    {
        auto const answer = f.request( "n" + std::to_string( n ), 1, 100'000 );
        for ( auto const& grant : answer->grants )
        {
            ++granted;
            // The first one writes; one that writes such answers already is
            // preferred for the next.
            for ( auto i = std::size_t{ 1 }; i < grant.choice.parts.size();
                  ++i )
                ++used[grant.choice.parts[i].target.str()];
        }
    }
    CHECK( granted == 5 );
    for ( auto const& [id, count] : used )
        CHECK( count == 1 );
}

TEST_CASE( "those that wait are served in the order in which they are due",
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

TEST_CASE( "an ask that is repeated gets the answer that it had",
           "[coordinator]" )
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
    // The same number of another asker is another ask.
    f.request( "b", 7, 5'000 );
    CHECK( f.total_memory() > memory );
}

TEST_CASE( "no grant outlives its asker", "[coordinator]" )
{
    auto f = coordinator_fixture( 4 );
    f.request( "a", 1, 5'000 );
    f.request( "a", 2, 5'000 );
    f.request( "b", 1, 5'000 );
    auto const all = f.total_memory();
    SECTION( "one that ends by itself" )
    {
        f.coordinator.release( core::instance_id( "a" ), 1 );
        CHECK( f.total_memory() == all * 2 / 3 );
    }
    SECTION( "what the asker does not name among its own was not received" )
    {
        f.coordinator.keep_only( core::instance_id( "a" ), { 2 } );
        CHECK( f.total_memory() == all * 2 / 3 );
        CHECK( f.total_reading() == 2 );
    }
    SECTION( "all of one that is lost" )
    {
        f.coordinator.forget( core::instance_id( "a" ) );
        CHECK( f.total_memory() == all / 3 );
    }
}

TEST_CASE( "a prompt that waits for an asker that is lost keeps no engine",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.fill_one_engine();
    auto const waits = f.request( "b", 1, 60'000 );
    REQUIRE( f.coordinator.waiting() == 1 );
    f.coordinator.forget( core::instance_id( "b" ) );
    CHECK( f.coordinator.waiting() == 0 );
    f.coordinator.forget( core::instance_id( "a" ) );
    f.scheduler.run( 2s );
    CHECK( waits->grants.empty() );
    CHECK( f.total_reading() == 0 );
    CHECK( f.loads.split_prompts().size() == 0 );
}

TEST_CASE( "an ask whose caller has left is dropped without a word",
           "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.fill_one_engine();
    f.loads.find( core::target_id( "e0" ) )->properties.leaving = true;
    auto const waits = f.request( "b", 1, 60'000 );
    f.scheduler.run( 13s );
    CHECK( f.coordinator.waiting() == 0 );
    CHECK( waits->grants.empty() );
    CHECK( waits->refusals.empty() );
}

TEST_CASE( "a service that nobody knows is refused", "[coordinator]" )
{
    auto f = coordinator_fixture( 1 );
    f.coordinator.set_configuration( nullptr );
    auto const answer = f.request( "a", 1, 5'000 );
    REQUIRE( answer->refusals.size() == 1 );
    CHECK( answer->refusals[0].reason == "unknown_service" );
}

TEST_CASE( "a prompt that may not go to the only room holds up no other",
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
    SECTION( "it has been tried" )
    {
        repeat.demand.tried.push_back( core::target_id( "e0" ) );
    }
    SECTION( "it wants a pause from the asker" )
    {
        repeat.demand.paused.push_back( core::target_id( "e0" ) );
    }
    auto const kept_away = std::make_shared<recorded_placement>();
    f.coordinator.request( repeat, kept_away );
    auto const other = f.request( "c", 1, 5'000 );
    REQUIRE( other->grants.empty() );
    f.coordinator.release( core::instance_id( "a" ), 1 );
    f.queue.schedule_round();
    f.scheduler.run( 30ms );
    CHECK( other->grants.size() == 1 );
    CHECK( kept_away->grants.empty() );
}

TEST_CASE( "what ends its engines gets none", "[coordinator][crash]" )
{
    auto f = coordinator_fixture( 4 );
    auto const content = exchange::content_id( 7 );
    auto const crash = [&]( std::string const& target )
    {
        f.crashes.note_crash(
            { content, core::target_id( target ), f.scheduler.now() } );
    };
    crash( "x1" );
    crash( "x2" );
    auto const first = f.request( "a", 1, 5'000, content );
    REQUIRE( first->grants.size() == 1 );
    CHECK( first->grants[0].is_suspect );

    // One run at a time until it is known what it does; others go on.
    auto const second = f.request( "b", 1, 5'000, content );
    CHECK( second->grants.empty() );
    CHECK( f.request( "b", 2, 5'000 )->grants.size() == 1 );
    auto const other = f.request( "c", 1, 5'000, exchange::content_id( 8 ) );
    REQUIRE( other->grants.size() == 1 );
    CHECK_FALSE( other->grants[0].is_suspect );

    SECTION( "its run ends its engine" )
    {
        crash( "x3" );
        f.coordinator.release( core::instance_id( "a" ), 1 );
        f.scheduler.run( 30ms );
        // It is still to be seen whether the third target has ended.
        CHECK( second->grants.empty() );
        CHECK( second->refusals.empty() );
        f.crashes.prove( content );
        f.scheduler.run( 30ms );
        REQUIRE( second->refusals.size() == 1 );
        CHECK( second->refusals[0].retry_after == 0ms );
        CHECK( f.request( "c", 2, 5'000, content )->refusals.size() == 1 );
    }
    SECTION( "its run is served" )
    {
        f.crashes.note_served( content, f.scheduler.now() );
        f.coordinator.release( core::instance_id( "a" ), 1 );
        f.scheduler.run( 30ms );
        CHECK( second->grants.size() == 1 );
    }
}
