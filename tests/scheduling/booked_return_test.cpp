#include "support/exchange_fleet.hpp"
#include "support/simulated_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Work of another instance that occupies `target` with prefill.
auto occupying_work( core::target_id const& target,
                     std::uint64_t serial,
                     double prefill_ms ) -> exchange::open_work
{
    auto work = exchange::open_work{};
    work.serial = serial;
    work.parts = { { target, prefill_ms, 1'000 } };
    work.context_tokens = 1'000;
    work.tolerated_gap_ms = 800;
    return work;
}

/// A coordinator with one engine. Prompts of 60,000 tokens take 0.4 s of
/// prefill there.
struct booking_fixture : exchange_fixture
{
    booking_fixture()
    {
        for ( auto const* id : { "m1", "m2", "m3" } )
            loads.remove( core::target_id( id ) );
        loads.put( make_target( "e0", "model" ) );
    }
    auto occupy( double prefill_ms ) -> void
    {
        loads.add_work(
            core::instance_id( "x" ),
            occupying_work( core::target_id( "e0" ), ++last_work, prefill_ms ),
            scheduler.now() );
    }
    auto free_engine() -> void
    {
        loads.end_all_work( core::instance_id( "x" ), scheduler.now() );
        queue.schedule_round();
    }
    auto request( int content,
                  std::int64_t tokens = 60'000,
                  core::duration time_left = 15s )
        -> std::shared_ptr<recorded_placement>
    {
        auto what = exchange::placement_request{};
        what.content = core::content_id( content );
        what.requester = core::instance_id( "n" );
        what.serial = ++last_serial;
        what.demand.service = core::service_id( "model" );
        what.demand.prompt_tokens = tokens;
        what.demand.output_tokens = 1'000;
        what.demand.latency_objective = 3s;
        what.demand.gap_objective = 800ms;
        what.demand.min_gap_objective = 200ms;
        what.demand.time_left = time_left;
        what.demand.patience_left = 12s;
        auto answer = std::make_shared<recorded_placement>();
        coordinator.request( std::move( what ), answer );
        return answer;
    }
    /// Refuses the caller of `content` and runs until the answer. The engine
    /// is occupied for a second more than that.
    auto refuse( int content ) -> exchange::placement_refusal
    {
        occupy( 4'000 );
        auto const answer = request( content );
        scheduler.run( 3s );
        REQUIRE( answer->refusals.size() == 1 );
        return answer->refusals[0];
    }

    std::uint64_t last_work{ 0 };
    std::uint64_t last_serial{ 0 };
};

}

/// Guards against callers that are kept waiting for a refusal until they have
/// no time left to return.
TEST_CASE( "a prompt without capacity is refused within 3 s and booked",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    auto const refusal = f.refuse( 1 );
    CHECK( refusal.reason == "no_room" );
    CHECK( refusal.is_booked );
    // The engine is free 4 s after the arrival.
    CHECK( refusal.retry_after > 1s );
    CHECK( refusal.retry_after < 1200ms );
    CHECK( f.coordinator.bookings().counters().made.value() == 1 );
}

/// Guards against a second refusal because later requests have taken the
/// capacity meanwhile.
TEST_CASE( "a caller that returns when told is served before later requests",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    auto const refusal = f.refuse( 1 );
    f.occupy( 3'000 ); // the engine takes longer than was expected
    f.scheduler.run( 500ms );
    auto const later = f.request( 2, 120'000 );
    f.scheduler.run( refusal.retry_after - 500ms );
    auto const returned = f.request( 1 );
    REQUIRE( returned->grants.empty() );
    REQUIRE( later->grants.empty() );
    for ( auto i = 0; i < 800 && returned->grants.empty(); ++i )
        f.scheduler.run( 5ms );
    CHECK( returned->grants.size() == 1 );
    CHECK( later->grants.empty() );
    CHECK( f.coordinator.bookings().counters().kept.value() == 1 );
}

TEST_CASE(
    "a caller that ignores its Retry-After is not placed before its time",
    "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    auto const refusal = f.refuse( 1 );
    auto const early = f.request( 1 );
    f.free_engine();
    f.scheduler.run( 100ms );
    CHECK( early->grants.empty() );
    // The free engine is not withheld from others.
    CHECK( f.request( 2 )->grants.size() == 1 );
    f.scheduler.run( refusal.retry_after );
    CHECK( early->grants.size() == 1 );
    CHECK( f.coordinator.bookings().counters().early.value() == 1 );
    CHECK( f.coordinator.bookings().counters().kept.value() == 0 );
}

TEST_CASE( "a refusal that is lost is repeated with the same booked time",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    auto const refusal = f.refuse( 1 );
    f.scheduler.run( 250ms );
    auto repeat = exchange::placement_request{};
    repeat.content = core::content_id( 1 );
    repeat.requester = core::instance_id( "n" );
    repeat.serial = 77;
    repeat.demand.service = core::service_id( "model" );
    repeat.demand.prompt_tokens = 60'000;
    repeat.demand.waited = 3250ms;
    auto const answer = std::make_shared<recorded_placement>();
    f.coordinator.request( repeat, answer );
    REQUIRE( answer->refusals.size() == 1 );
    CHECK( answer->refusals[0].is_booked );
    CHECK( answer->refusals[0].retry_after < refusal.retry_after - 200ms );
    CHECK( f.coordinator.bookings().counters().made.value() == 1 );
}

/// Guards against refusing a returning prompt for a reason that held at its
/// first attempt too: it cannot meet its objective, but is served in its time.
TEST_CASE( "a booked prompt is not refused again as late",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    f.occupy( 1'000 );
    f.request( 2, 100'000 );
    // On its only engine, the prefill takes 3.1 s, longer than the objective.
    auto const refused = f.request( 1, 220'000, 20s );
    REQUIRE( refused->refusals.size() == 1 );
    CHECK( refused->refusals[0].reason == "no_room_in_time" );
    REQUIRE( refused->refusals[0].is_booked );
    f.scheduler.run( refused->refusals[0].retry_after );
    f.occupy( 1'000 );
    auto const in_time = f.request( 4, 100'000 );
    REQUIRE( in_time->queued == 1 );
    auto const returned = f.request( 1, 220'000, 13s );
    CHECK( returned->refusals.empty() );
    CHECK( returned->queued == 1 );
    SECTION( "a prompt without a booking is" )
    {
        CHECK( f.request( 3, 220'000, 20s )->refusals.size() == 1 );
    }
}

TEST_CASE( "a prompt that cannot be served in its caller's time is refused",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fixture{};
    f.occupy( 1'000 );
    // On the only engine, the prefill takes 8.9 s.
    auto const answer = f.request( 1, 400'000, 8s );
    REQUIRE( answer->refusals.size() == 1 );
    CHECK( answer->refusals[0].reason == "no_room" );
    CHECK_FALSE( answer->refusals[0].is_booked );
}

namespace
{

/// Engines that prefill a prompt of 150,000 tokens within 2.9 s.
auto overloaded_engine_speed() -> exchange::engine_speed
{
    auto s = production_engine_speed();
    s.memory_tokens = 315'000;
    s.prefill_tokens_per_ms = 177;
    s.prefill_ms_per_m_pairs = 0.184;
    return s;
}

/// Outcome of a load that exceeds the prefill capacity by a third.
struct overload_outcome
{
    int served{ 0 };
    int refused{ 0 };              ///< once or twice
    int served_after_refusal{ 0 }; ///< of them
    core::duration first_event_sum{ 0 };
};

/// Plays the overload with callers of which `is_ignoring(i)` ignore their
/// Retry-After, and returns the outcomes of the others and of these.
template <typename Ignores>
auto play_overload( simulated_load& load, Ignores is_ignoring )
    -> std::pair<overload_outcome, overload_outcome>
{
    auto all = std::vector<std::shared_ptr<simulated_request>>{};
    for ( auto i = 0; i < 120; ++i )
    {
        all.push_back( load.schedule_request( i * 280ms, "audit", 150'000 ) );
        all.back()->ignores_retry_after = is_ignoring( i );
    }
    load.run( 60s );
    auto outcomes = std::pair<overload_outcome, overload_outcome>{};
    for ( auto const& r : all )
    {
        auto& o = r->ignores_retry_after ? outcomes.second : outcomes.first;
        CHECK( r->longest_refusal_wait < 3s );
        o.served += r->complete ? 1 : 0;
        if ( r->refusals == 0 )
            continue;
        ++o.refused;
        if ( !r->complete )
            continue;
        ++o.served_after_refusal;
        o.first_event_sum += *r->first_event;
    }
    return outcomes;
}

/// Number of refusals of callers that were booked at their first refusal.
auto refusals_after_booking( recorded_events const& log ) -> int
{
    auto booked = std::set<core::content_id>{};
    auto count = 0;
    for ( auto const& e : log.all )
        if ( auto const* r = std::get_if<exchange::request_refused>( &e ) )
        {
            count += booked.contains( r->content ) ? 1 : 0;
            if ( r->is_booked )
                booked.insert( r->content );
        }
    return count;
}

/// Mean time to the first event of those that were refused and then served.
auto mean_first_event( overload_outcome const& o ) -> core::duration
{
    return o.served_after_refusal == 0
               ? core::duration::max()
               : o.first_event_sum / o.served_after_refusal;
}

}

TEST_CASE(
    "under overload, callers that return when told are not refused twice",
    "[scheduling][bookings][load]" )
{
    auto load = simulated_load( 8, overloaded_engine_speed() );
    auto const outcome = play_overload( load,
                                        []( int )
                                        {
                                            return false;
                                        } )
                             .first;
    auto const& counters = load.fixture.coordinator.bookings().counters();
    CAPTURE( outcome.served, outcome.refused, outcome.served_after_refusal,
             counters.made.value(), counters.kept.value(),
             counters.lapsed.value() );
    CHECK( outcome.refused > 20 );
    CHECK( counters.kept.value() > 20 );
    CHECK( refusals_after_booking( load.fixture.log ) == 0 );
}

TEST_CASE( "under overload, callers that ignore their Retry-After gain nothing",
           "[scheduling][bookings][load]" )
{
    auto load = simulated_load( 8, overloaded_engine_speed() );
    auto const [honouring, ignoring] = play_overload( load,
                                                      []( int i )
                                                      {
                                                          return i % 10 < 3;
                                                      } );
    CAPTURE( honouring.served, honouring.refused, ignoring.served,
             ignoring.refused, mean_first_event( honouring ).count(),
             mean_first_event( ignoring ).count() );
    REQUIRE( ignoring.refused > 5 );
    CHECK( honouring.served_after_refusal * ignoring.refused >=
           ignoring.served_after_refusal * honouring.refused );
    CHECK( mean_first_event( ignoring ) >= mean_first_event( honouring ) );
}

namespace
{

/// A fleet with one engine, which is occupied by an instance outside of it.
struct booking_fleet : exchange_fleet
{
    booking_fleet() : exchange_fleet( 4, 1, 0 ) {}

    auto occupy( double prefill_ms ) -> void
    {
        auto const target = engines.properties().at( 0 ).id;
        for ( auto i = 0; i < size(); ++i )
            if ( is_running( i ) )
                at( i ).loads.add_work(
                    core::instance_id( "x" ),
                    occupying_work( target, ++last_work, prefill_ms ),
                    scheduler.now() );
    }
    /// Sends one attempt of a caller, who does not retry by itself.
    auto send( int number, std::string const& body )
        -> std::shared_ptr<recorded_channel>
    {
        auto what = exchange::caller_request{};
        what.id = exchange::attempt_id( std::to_string( ++last_attempt ) );
        what.method = "POST";
        what.target = "/audit/x";
        what.host = "host";
        what.key = "key";
        what.body = body;
        what.time_limit = 15s;
        what.received = scheduler.now();
        auto const tokens = body == "later" ? 120'000 : 60'000;
        what.prompt = exchange::prompt_properties{ tokens, 1'000, 0 };
        auto answer = std::make_shared<recorded_channel>();
        at( number ).start( what, answer );
        return answer;
    }
    /// Number of the instance with this position among the coordinators.
    auto coordinator( std::size_t position ) -> int
    {
        for ( auto i = 0; i < size(); ++i )
            if ( is_running( i ) && at( i ).group.coordinator_position() ==
                                        static_cast<int>( position ) )
                return i;
        return -1;
    }

    std::uint64_t last_work{ 0 };
    int last_attempt{ 0 };
};

}

TEST_CASE( "the second coordinator honours a booking of the lost first one",
           "[scheduling][bookings][coordinator]" )
{
    auto f = booking_fleet{};
    auto const first = f.coordinator( 0 );
    auto const second = f.coordinator( 1 );
    auto requester = 0;
    while ( requester == first || requester == second )
        ++requester;
    f.occupy( 4'500 );
    auto const refused = f.send( requester, "returns" );
    f.scheduler.run( 3s );
    REQUIRE( refused->whole.status == 503 );
    auto const pause =
        core::duration_of( std::stod( refused->header( "Retry-After" ) ) );
    CHECK( pause < 1700ms );
    auto const& bookings = f.at( second ).coordinator().bookings();
    auto const returns_when = [&]( bool is_lost )
    {
        if ( is_lost )
            f.kill( first );
        f.occupy( 3'000 ); // the engine takes longer than was expected
        f.scheduler.run( pause - 300ms );
        f.send( requester, "later" );
        f.scheduler.run( 300ms );
        f.send( requester, "returns" );
        f.scheduler.run( 8s );
    };
    SECTION( "after the loss of the first" )
    {
        CHECK( bookings.size( f.scheduler.now() ) == 1 );
        returns_when( true );
        CHECK( bookings.counters().kept.value() == 1 );
        REQUIRE_FALSE( f.engines.runs.empty() );
        CHECK( f.engines.runs.front().body == "returns" );
    }
    SECTION( "without a loss, it is told that the booking has been used" )
    {
        returns_when( false );
        CHECK( bookings.counters().kept.value() == 0 );
        CHECK( bookings.size( f.scheduler.now() ) == 0 );
        REQUIRE_FALSE( f.engines.runs.empty() );
        CHECK( f.engines.runs.front().body == "returns" );
    }
    SECTION( "while all datagrams between coordinators are lost" )
    {
        f.cut( second, true );
        f.kill( first );
        f.scheduler.run( pause );
        // Unknown or known, the caller is served.
        f.send( requester, "returns" );
        f.scheduler.run( 4s );
        REQUIRE( f.engines.runs.size() == 1 );
        CHECK( f.engines.runs.front().body == "returns" );
    }
}

TEST_CASE( "bookings are the same after encoding and decoding",
           "[scheduling][bookings][peers]" )
{
    auto message = peers::peer_message{};
    message.sender = core::instance_id( "n1" );
    message.booked = {
        { core::content_id( -5 ), core::service_id( "model" ), 1'250, 400 } };
    message.unbooked = { core::content_id( 7 ) };
    auto answer = peers::placement_answer{};
    answer.decision = peers::placement_decision::refused;
    answer.is_booked = true;
    message.answers = { answer };
    auto const decoded = peers::decode( peers::encode( message ) ).value();
    REQUIRE( decoded.booked.size() == 1 );
    CHECK( decoded.booked[0].content == core::content_id( -5 ) );
    CHECK( decoded.booked[0].service == core::service_id( "model" ) );
    CHECK( decoded.booked[0].in_ms == 1'250 );
    CHECK( decoded.booked[0].prefill_ms == 400 );
    CHECK( decoded.unbooked == message.unbooked );
    CHECK( decoded.answers.at( 0 ).is_booked );
}
