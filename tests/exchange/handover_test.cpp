#include "support/directory_callers.hpp"
#include <pollenstream/exchange/exchange.hpp>
#include <pollenstream/exchange/own_answers.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

// Some instances lose the path to all targets; others take their requests over.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto call_interval = core::duration( 20ms );
constexpr auto time_to_finish = core::duration( 11s );
constexpr auto all_links = { target_link::resets, target_link::hangs,
                             target_link::refuses_new };

struct handover_fleet
{
    explicit handover_fleet( int instances, int engines = 18, int plain = 6 )
        : fleet( instances, engines, plain )
    {
    }
    auto cut( int first, int count, target_link how ) -> void
    {
        cut_at = fleet.scheduler.now();
        for ( auto i = 0; i < count; ++i )
        {
            cut_instances.insert( first + i );
            fleet.set_target_link( first + i, how );
        }
    }
    auto at_cut( bool is_cut ) const -> first_attempts
    {
        return callers.count( cut_at,
                              [&]( int i )
                              {
                                  return cut_instances.contains( i ) == is_cut;
                              } );
    }
    auto check_served_alike() -> void
    {
        auto const cut = at_cut( true );
        auto const others = at_cut( false );
        INFO( cut.served << " of " << cut.sent << " served at instances that "
                         << "are cut, " << others.served << " of "
                         << others.sent << " at the others" );
        REQUIRE( cut.sent > 0 );
        // A tenth below the others, or two calls where few have come.
        auto const owed = ( others.served * 10 - others.sent ) * cut.sent;
        CHECK( ( cut.served + 2 ) * others.sent * 10 >= owed );
    }
    auto check_run_once( std::string const& body_prefix ) -> void
    {
        auto runs = std::map<std::string, int>{};
        for ( auto const* service : { &fleet.engines, &fleet.plain } )
            for ( auto const& run : service->runs )
                if ( run.body.starts_with( body_prefix ) )
                    ++runs[run.body];
        for ( auto const& [body, count] : runs )
        {
            INFO( body );
            CHECK( count == 1 );
        }
    }
    template <class Count>
    auto sum( Count count ) -> std::uint64_t
    {
        auto total = std::uint64_t{ 0 };
        for ( auto i = 0; i < fleet.size(); ++i )
            if ( fleet.is_running( i ) )
                total += count( fleet.at( i ).context.counters );
        return total;
    }

    exchange_fleet fleet;
    directory_callers callers{ fleet };
    core::instant cut_at;
    std::set<int> cut_instances;
};

auto refusal_of( handover_fleet& f, int instance ) -> std::string
{
    for ( auto const& e : f.fleet.at( instance ).log.all )
        if ( auto const* const refused =
                 std::get_if<exchange::request_refused>( &e ) )
            return refused->reason;
    return {};
}

}

TEST_CASE( "callers of instances that reach no target are served like others "
           "from the first second",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 7 );
    f.callers.send_for( 3s, call_interval );
    f.cut( 1, GENERATE( 1, 3, 5 ), GENERATE( values( all_links ) ) );
    f.callers.send_for( 8s, call_interval );
    f.fleet.scheduler.run( time_to_finish );
    f.check_served_alike();
}

TEST_CASE( "callers of many cut instances are served like others",
           "[exchange][handover]" )
{
    auto const instances = GENERATE( 63, 300 );
    auto f = handover_fleet( instances, 24, 8 );
    f.callers.send_for( 2s, call_interval );
    f.cut( instances / 3, instances / 3, target_link::hangs );
    f.callers.send_for( 5s, call_interval );
    f.fleet.scheduler.run( 6s );
    f.check_served_alike();
}

TEST_CASE( "an instance alone that reaches no target refuses at once",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 1 );
    f.cut( 0, 1, target_link::resets );
    auto const call = f.fleet.call( 0, "/safe/a", "alone" );
    f.fleet.scheduler.run( 1s );
    CHECK( call->status == 503 );
    CHECK( refusal_of( f, 0 ) == exchange::unreached_reason );
    CHECK( f.fleet.handovers.sent == 0 );
}

// Guards against requests that wait, or go in a ring, where nobody can send
// them.
TEST_CASE( "requests are refused at once where no instance reaches a target",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 7 );
    f.callers.send_for( 2s, call_interval );
    f.cut( 0, 7, target_link::resets );
    f.fleet.scheduler.run( 2s );
    f.fleet.handovers.sent = 0;
    constexpr auto calls = 20;
    auto all = std::vector<std::shared_ptr<fleet_call>>{};
    for ( auto i = 0; i < calls; ++i )
        all.push_back(
            f.fleet.call( i % 7, "/unsafe/a", std::to_string( i ) ) );
    f.fleet.scheduler.run( 1s );
    for ( auto const& call : all )
    {
        CHECK( call->status == 503 );
        CHECK( call->longest_attempt < 500ms );
    }
    constexpr auto attempts_of_callers = 2;
    constexpr auto most_instances_asked = 6;
    CHECK( f.fleet.handovers.sent <=
           calls * attempts_of_callers * most_instances_asked );
}

TEST_CASE( "a call that may run once runs once at most also when it is handed "
           "over",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 7 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 3, GENERATE( values( all_links ) ) );
    auto all = std::vector<std::shared_ptr<fleet_call>>{};
    for ( auto i = 0; i < 100; ++i )
    {
        all.push_back( f.fleet.call( i % 3,
                                     i % 2 == 0 ? "/unsafe/a" : "/once/a",
                                     "once" + std::to_string( i ) ) );
        f.fleet.scheduler.run( 20ms );
    }
    f.fleet.scheduler.run( time_to_finish );
    f.check_run_once( "once" );
    auto const served = std::count_if( all.begin(), all.end(),
                                       []( auto const& call )
                                       {
                                           return call->served;
                                       } );
    CHECK( served >= 95 );
}

// Guards against a second run of a call whose first one was lost with the
// instance that had taken it over.
TEST_CASE( "a call that may run once is not repeated behind a lost handover",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 2 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 1, target_link::resets );
    auto const call = f.fleet.call( 0, "/unsafe/a", "once" );
    f.fleet.scheduler.run( 30ms );
    REQUIRE( f.fleet.plain.runs.size() == 1 );
    f.fleet.kill( 1 );
    f.fleet.restart( 1 );
    f.fleet.scheduler.run( time_to_finish );
    CHECK( call->status == 502 );
    CHECK( call->attempts == 1 );
    f.check_run_once( "once" );
}

TEST_CASE( "a stream goes on at another instance behind a lost handover",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 3 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 1, target_link::resets );
    auto const call = f.fleet.call( 0, "/chat/a", "stream" );
    f.fleet.scheduler.run( 300ms );
    REQUIRE( f.fleet.engines.runs.size() == 1 );
    auto const first = f.fleet.engines.runs.front().instance;
    auto const taken_by = first == "n2" ? 1 : 2;
    SECTION( "killed" )
    {
        f.fleet.kill( taken_by );
    }
    SECTION( "cut off from the others" )
    {
        f.fleet.handovers.close_all( f.fleet.at( taken_by ).ip );
        f.fleet.cut( taken_by, true );
    }
    f.fleet.scheduler.run( time_to_finish );
    CHECK( call->served );
    CHECK_FALSE( call->cut_short );
    CHECK( call->attempts == 1 );
    CHECK( f.fleet.engines.runs.size() == 2 );
}

TEST_CASE( "a stream that may not be resumed is aborted behind a lost handover",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 2 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 1, target_link::resets );
    auto const call = f.fleet.call( 0, "/once/a", "once" );
    f.fleet.scheduler.run( 300ms );
    REQUIRE( f.fleet.engines.runs.size() == 1 );
    f.fleet.kill( 1 );
    f.fleet.scheduler.run( time_to_finish );
    CHECK( call->status == 0 );
    CHECK_FALSE( call->served );
    CHECK( f.fleet.engines.runs.size() == 1 );
}

TEST_CASE( "streams that have begun go on elsewhere when the path is cut",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 3 );
    f.fleet.scheduler.run( 1s );
    auto all = std::vector<std::shared_ptr<fleet_call>>{};
    for ( auto i = 0; i < 4; ++i )
        all.push_back( f.fleet.call( 0, "/chat/a", std::to_string( i ) ) );
    f.fleet.scheduler.run( 300ms );
    f.cut( 0, 1, GENERATE( target_link::resets, target_link::hangs ) );
    f.fleet.scheduler.run( time_to_finish );
    for ( auto const& call : all )
    {
        CHECK( call->served );
        CHECK_FALSE( call->cut_short );
        CHECK( call->attempts == 1 );
    }
}

TEST_CASE( "a request that is handed over is counted at its caller's instance "
           "alone",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 3 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 1, target_link::resets );
    constexpr auto calls = std::uint64_t{ 10 };
    for ( auto i = std::uint64_t{ 0 }; i < calls; ++i )
    {
        f.fleet.call( 0, "/safe/a", std::to_string( i ) );
        f.fleet.scheduler.run( 100ms );
    }
    f.fleet.scheduler.run( time_to_finish );
    auto const count = [&f]( core::counter exchange::exchange_counters::*which )
    {
        return f.sum(
            [which]( auto const& counters )
            {
                return ( counters.*which ).value();
            } );
    };
    using counters = exchange::exchange_counters;
    CHECK( count( &counters::requests ) == calls );
    CHECK( count( &counters::served ) == calls );
    CHECK( count( &counters::handed_over ) == calls );
    CHECK( count( &counters::taken_over ) == calls );
    CHECK( count( &counters::retries ) == 0 );
    CHECK( f.fleet.plain.runs.size() == calls );
    CHECK( f.fleet.at( 0 ).handovers.open() == 0 );
}

TEST_CASE( "an instance that leaves takes no request over",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 3 );
    f.fleet.scheduler.run( 1s );
    f.fleet.at( 1 ).group.announce_leaving();
    f.fleet.scheduler.run( 100ms );
    f.cut( 0, 1, target_link::resets );
    auto all = std::vector<std::shared_ptr<fleet_call>>{};
    for ( auto i = 0; i < 10; ++i )
        all.push_back( f.fleet.call( 0, "/safe/a", std::to_string( i ) ) );
    f.fleet.scheduler.run( 2s );
    for ( auto const& call : all )
        CHECK( call->attempts == 1 );
    REQUIRE( f.fleet.plain.runs.size() == 10 );
    for ( auto const& run : f.fleet.plain.runs )
        CHECK( run.instance == "n3" );
}

TEST_CASE( "a caller that leaves ends its request at the other instance",
           "[exchange][handover]" )
{
    auto f = handover_fleet( 2 );
    f.fleet.scheduler.run( 1s );
    f.cut( 0, 1, target_link::resets );
    f.fleet.call( 0, "/chat/a", "left" );
    f.fleet.scheduler.run( 200ms );
    auto& there = f.fleet.at( 1 ).context;
    REQUIRE( there.open.size() == 1 );
    auto const here = std::vector( f.fleet.at( 0 ).context.open.begin(),
                                   f.fleet.at( 0 ).context.open.end() );
    for ( auto* const open : here )
        open->on_caller_gone();
    f.fleet.scheduler.run( 10ms );
    CHECK( there.open.empty() );
    CHECK( f.fleet.at( 0 ).handovers.open() == 0 );
}
