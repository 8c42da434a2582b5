#include "support/exchange_fixture.hpp"
#include <pollenstream/observation/bounded_log.hpp>
#include <pollenstream/observation/event_metrics.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <explain.hpp>
#include <set>
#include <sstream>
#include <status.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace observation = pollenstream::observation;

namespace
{

auto placed( std::string const& id ) -> exchange::event
{
    auto e = exchange::request_placed{};
    e.id = exchange::attempt_id( id );
    e.route = "r";
    e.waited = 5ms;
    return e;
}

auto ended( std::string const& id, std::string const& outcome )
    -> exchange::event
{
    auto e = exchange::request_ended{};
    e.id = exchange::attempt_id( id );
    e.route = "r";
    e.outcome = outcome;
    e.total = 120ms;
    e.first_event = 90ms;
    e.events = 3;
    return e;
}

auto late( std::string const& id ) -> exchange::event
{
    auto e = exchange::lateness_expected{};
    e.id = exchange::attempt_id( id );
    e.route = "r";
    return e;
}

}

TEST_CASE( "logs are bounded and complete for requests that are not served",
           "[log]" )
{
    auto scheduler = held_scheduler{};
    auto written = recorded_events{};
    auto log = observation::bounded_log( written, scheduler, 10 );
    for ( auto i = 0; i < 1'000; ++i )
        log.record( placed( std::to_string( i ) ) );
    CHECK( written.all.size() == 10 );
    for ( auto i = 0; i < 1'000; ++i )
        log.record( ended( std::to_string( i ),
                           i % 100 == 99 ? "deadline" : "served" ) );
    // Two events each of ten requests within the limit and of ten that missed
    // their deadline.
    CHECK( written.all.size() == 40 );
    CHECK( log.left_out() == 980 );
    scheduler.run( 2s );
    log.record( placed( "later" ) );
    // The number of requests that were left out is logged.
    auto left_out_logged = false;
    for ( auto const& e : written.all )
        if ( auto const* change = std::get_if<exchange::state_change>( &e ) )
            left_out_logged = left_out_logged || ( change->now == "left_out" &&
                                                   change->because == "980" );
    CHECK( left_out_logged );
}

// Guards against an overload in which each late request adds a line, and
// against requests in the log whose end is left out.
TEST_CASE( "expected latenesses are logged at once up to the limit", "[log]" )
{
    auto scheduler = held_scheduler{};
    auto written = recorded_events{};
    auto log = observation::bounded_log( written, scheduler, 10 );
    for ( auto i = 0; i < 100; ++i )
        log.record( placed( std::to_string( i ) ) );
    for ( auto i = 0; i < 100; ++i )
        log.record( late( std::to_string( i + 50 ) ) );
    // Ten placements within the limit, then ten latenesses with the placements
    // that had been held back.
    CHECK( written.all.size() == 30 );
    for ( auto i = 0; i < 150; ++i )
        log.record( ended( std::to_string( i ), "served" ) );
    auto starts = std::set<std::string>{};
    auto ends = std::set<std::string>{};
    for ( auto const& e : written.all )
        if ( auto const* l = std::get_if<exchange::lateness_expected>( &e ) )
            starts.insert( l->id.str() );
        else if ( auto const* p = std::get_if<exchange::request_placed>( &e ) )
            starts.insert( p->id.str() );
        else if ( auto const* d = std::get_if<exchange::request_ended>( &e ) )
            ends.insert( d->id.str() );
    CHECK( std::includes( ends.begin(), ends.end(), starts.begin(),
                          starts.end() ) );
    scheduler.run( 1s );
    log.record( placed( "later" ) );
    // Fifty latenesses of requests that were not held are left out.
    auto left_out = std::string{};
    for ( auto const& e : written.all )
        if ( auto const* change = std::get_if<exchange::state_change>( &e ) )
            if ( change->name == "late_expected" )
                left_out = change->because;
    CHECK( left_out == "50" );
}

TEST_CASE( "a request that was logged as late while it waited is logged whole",
           "[log]" )
{
    auto scheduler = held_scheduler{};
    auto written = recorded_events{};
    auto log = observation::bounded_log( written, scheduler, 1 );
    log.record( placed( "other" ) );
    log.record( late( "x" ) );
    log.record( placed( "x" ) );
    log.record( ended( "x", "served" ) );
    CHECK( written.all.size() == 4 );
    CHECK( log.left_out() == 0 );
}

TEST_CASE( "state changes are always logged", "[log]" )
{
    auto scheduler = held_scheduler{};
    auto written = recorded_events{};
    auto log = observation::bounded_log( written, scheduler, 0 );
    for ( auto i = 0; i < 50; ++i )
        log.record( exchange::state_change{ "target", "x", "gone", "", {} } );
    CHECK( written.all.size() == 50 );
}

TEST_CASE( "metrics count the logged events", "[metrics]" )
{
    auto written = recorded_events{};
    auto metrics = observation::event_metrics( written );
    metrics.record( placed( "a" ) );
    metrics.record( ended( "a", "served" ) );
    metrics.record( ended( "b", "deadline" ) );
    metrics.record( late( "b" ) );
    CHECK( written.all.size() == 4 );
    auto const text = metrics.text();
    CHECK( text.find( "pollenstream_requests_ended_total{route=\"r\","
                      "outcome=\"deadline\"} 1\n" ) != std::string::npos );
    CHECK( text.find( "pollenstream_requests_lost_total{workspace=\"none\","
                      "why=\"failed\"} 1\n" ) != std::string::npos );
    CHECK( text.find( "pollenstream_late_expected_total{route=\"r\"} 1\n" ) !=
           std::string::npos );
    CHECK( text.find( "pollenstream_first_event_seconds_bucket{route=\"r\","
                      "le=\"0.1\"} 2\n" ) != std::string::npos );
    CHECK( text.find( "pollenstream_request_seconds_count{route=\"r\",} 2" ) !=
           std::string::npos );
}

TEST_CASE( "explain shows the events of a request in order and its cause",
           "[explain]" )
{
    auto second = std::istringstream(
        "time=2 instance=b event=ended id=x route=r outcome=target_lost "
        "status=502 target=i-1 total_ms=50.0\n"
        "time=2 instance=b event=ended id=y route=r outcome=served\n" );
    auto first = std::istringstream(
        "time=1 instance=b event=attempt_failed id=x target=i-1 "
        "error=\"Connection reset by peer\" may_have_run=1 "
        "decision=give_up\n" );
    auto const explained = apps::tool::explain( "x", { &second, &first } );
    REQUIRE( explained.lines.size() == 2 );
    CHECK( explained.lines[0].find( "attempt_failed" ) != std::string::npos );
    CHECK( explained.cause ==
           "ended as target_lost with status 502 after 50.0 ms "
           "at i-1: i-1 failed (Connection reset by peer)" );
    auto returning_log = std::istringstream(
        "time=1 instance=b event=attempt_failed id=x target=i-1 error=silent "
        "decision=look_elsewhere\n"
        "time=2 instance=b event=attempt_failed id=x target=i-1 "
        "error=\"it speaks again\" decision=go_back\n"
        "time=3 instance=b event=ended id=x route=r outcome=deadline "
        "status=504 target=i-1 total_ms=50.0\n" );
    auto const returned = apps::tool::explain( "x", { &returning_log } );
    CHECK( returned.cause.find( "i-1 failed (silent), then back to i-1 "
                                "(it speaks again)" ) != std::string::npos );
    auto unrelated = std::istringstream( "nothing here\n" );
    CHECK( apps::tool::explain( "z", { &unrelated } ).lines.empty() );
    auto const line =
        apps::tool::read_log_line( "0.5 host time=1 a=\"b c\" d=e" );
    CHECK( line.at( "a" ) == "b c" );
    CHECK( line.at( "d" ) == "e" );
}

TEST_CASE( "explain names the data centres that were drained at the time",
           "[explain][drain]" )
{
    auto const drained = std::string(
        "time=02 event=belief what=data_centre name=b now=drained "
        "because=store "
        "age_ms=0.0\ntime=03 event=belief what=data_centre name=b now=drained "
        "because=other age_ms=0.0\n" );
    auto const returned = std::string( "time=05 event=belief what=data_centre "
                                       "name=b now=in_service because=store "
                                       "age_ms=0.0\n" );
    auto const explained_at = [&]( std::string const& time )
    {
        auto log = std::istringstream(
            drained + returned + "time=" + time +
            " event=refused id=x status=503 reason=drained waited_ms=0.1 "
            "waiting=0\n" );
        return apps::tool::explain( "x", { &log } ).cause;
    };
    CHECK( explained_at( "04" ) ==
           "refused with 503 after 0.1 ms as drained with 0 waiting at this "
           "instance; left out: data centre b, drained since 02" );
    CHECK( explained_at( "01" ).find( "left out" ) == std::string::npos );
    CHECK( explained_at( "06" ).find( "left out" ) == std::string::npos );
}

TEST_CASE( "explain leads from a refused request to the crashes behind it",
           "[explain][crash]" )
{
    auto log = std::istringstream(
        "time=1 event=belief what=prompt_part name=part-fa now=quarantined "
        "because=\"attempts broke off at i-1,i-2,i-3\"\n"
        "time=2 event=belief what=prompt_part name=part-fa now=quarantined "
        "because=\"attempts broke off at i-1,i-2,i-3,i-4\"\n"
        "time=3 event=refused id=x reason=quarantined status=503 "
        "waited_ms=0.1 waiting=0 quarantine=part-fa\n" );
    auto const cause = apps::tool::explain( "x", { &log } ).cause;
    CHECK( cause.find( "not sent because of part-fa, quarantined since 1 as "
                       "attempts broke off at i-1,i-2,i-3" ) !=
           std::string::npos );
    auto late_log = std::istringstream(
        "time=3 event=refused id=x reason=quarantined status=503 "
        "waited_ms=0.1 waiting=0 quarantine=part-fa\n" );
    CHECK( apps::tool::explain( "x", { &late_log } )
               .cause.find( "quarantined before these logs" ) !=
           std::string::npos );
}

TEST_CASE( "status prints the state of a gateway and its violations",
           "[status]" )
{
    auto const state = web::json::value::parse( R"({
        "instance": "front-1", "configuration": 42, "open_requests": 3,
        "waiting_requests": 1, "stopping": false,
        "store": { "serves": true, "reads": false, "known_until": 99 },
        "drained_places": [ "b", "c" ],
        "invariants": { "at_most_once": { "checks": 9, "violations": 2 },
                        "ends_in_time": { "checks": 9, "violations": 0 } },
        "targets": [ { "id": "i-1", "service": "model", "requests": 4 } ],
        "peers": [ { "id": "front-2", "alive": true } ] })" );
    auto out = std::ostringstream{};
    apps::tool::print_status( state, out );
    auto const text = out.str();
    CHECK( text.find( "instance front-1, configuration 42, open requests 3, "
                      "waiting 1, stopping no\n" ) == 0 );
    CHECK( text.find( "store serves yes, read here no, known until 99\n" ) !=
           std::string::npos );
    CHECK( text.find( "drained by the operator: b c\n" ) != std::string::npos );
    CHECK( text.find( "VIOLATED at_most_once: 2 times" ) != std::string::npos );
    CHECK( text.find( "ends_in_time" ) == std::string::npos );
    CHECK( text.find( "i-1" ) != std::string::npos );
    CHECK( text.find( "front-2" ) != std::string::npos );
}

TEST_CASE( "status prints the coordinators that place prompts", "[status]" )
{
    auto const state = web::json::value::parse( R"({
        "instance": "front-1", "configuration": 42, "open_requests": 3,
        "waiting_requests": 1, "stopping": false,
        "store": { "serves": true, "reads": false, "known_until": 99 },
        "placing": { "coordinators": [ "front-2", "front-3" ],
                     "here": false, "asks_waiting": 7 },
        "invariants": {}, "targets": [], "peers": [] })" );
    auto out = std::ostringstream{};
    apps::tool::print_status( state, out );
    CHECK( out.str().find( "prompts are placed by front-2 front-3, "
                           "asks waiting here 7\n" ) != std::string::npos );
}

TEST_CASE( "explain shows which instance chose the targets", "[explain]" )
{
    auto log = std::istringstream(
        "time=1 event=placed id=x target=i-1 decided_by=front-2 asked_ms=3.1\n"
        "time=2 event=ended id=x outcome=served status=200 total_ms=50.0 "
        "first_ms=20.0 gap_ms=5.0\n" );
    auto const explained = apps::tool::explain( "x", { &log } );
    CHECK( explained.cause.find( "; targets chosen by front-2 in 3.1 ms" ) !=
           std::string::npos );
}

TEST_CASE( "explain reports an expected lateness and its reason", "[explain]" )
{
    auto const cause_of = []( std::string const& lines )
    {
        auto log = std::istringstream( lines );
        return apps::tool::explain( "x", { &log } ).cause;
    };
    CHECK( cause_of( "time=1 event=late_expected id=x workspace=w route=r "
                     "reason=backlog waited_ms=50.0 objective_ms=300.0 "
                     "predicted_ms=400.0\n" ) ==
           "still open at the end of these logs; expected to be late after "
           "waiting 50.0 ms, as its first event was predicted in 400.0 ms, "
           "with an objective of 300.0 ms; reason: backlog" );
    CHECK( cause_of( "time=1 event=late_expected id=x workspace=w route=r "
                     "reason=waited waited_ms=300.0 objective_ms=300.0\n" ) ==
           "still open at the end of these logs; expected to be late after "
           "waiting 300.0 ms without a target, with an objective of 300.0 ms; "
           "reason: waited" );
}

TEST_CASE( "explain tells to whom a request was handed over", "[explain]" )
{
    auto log = std::istringstream(
        "time=1 instance=a event=handed_over id=x to=b "
        "because=cut_from_targets "
        "waited_ms=0.1\n"
        "time=3 instance=a event=ended id=x outcome=served status=200 "
        "total_ms=9.0 first_ms=8.0 gap_ms=1.0\n"
        "time=4 instance=b event=ended id=x outcome=target_lost status=502 "
        "handed_over_by=a\n" );
    auto const cause = apps::tool::explain( "x", { &log } ).cause;
    CHECK( cause.find( "served with 200 in 9.0 ms" ) == 0 );
    CHECK( cause.find( "handed over to b after 0.1 ms (cut_from_targets)" ) !=
           std::string::npos );
}
