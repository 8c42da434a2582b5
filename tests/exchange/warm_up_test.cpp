#include "support/limited_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

// A target that has started while requests arrive takes only some of them a
// second from all instances together until it has warmed up.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto warm_up_rate = 6.0;
constexpr auto warm_up_time = core::duration( 3s );

auto counted_until( core::instant end ) -> run_filter
{
    return [end]( fleet_run const& run )
    {
        return run.sent_at < end;
    };
}

/// Largest number of requests that a target of the service received in a second
/// that begins at `from` or later, before `until`.
auto max_in_second( fleet_targets const& service,
                    core::instant from,
                    core::instant until ) -> int
{
    auto max_count = 0;
    for ( auto const& properties : service.properties() )
        max_count =
            std::max( max_count, max_in_window( service.runs, properties.id,
                                                from, counted_until( until ),
                                                core::duration( 1s ) ) );
    return max_count;
}

auto count_between( fleet_targets const& service,
                    core::instant from,
                    core::instant until ) -> int
{
    auto count = 0;
    for ( auto const& properties : service.properties() )
        count +=
            tests::count_between( service.runs, properties.id, from, until );
    return count;
}

}

TEST_CASE( "all instances together keep the rate of targets that warm up",
           "[exchange][warm-up]" )
{
    auto const instances = GENERATE( 1, 7, 66 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    auto fleet = exchange_fleet( instances, 3, 3 );
    auto load = steady_load{ fleet, path };
    load.send_for( 1s, 20ms );
    auto const started = fleet.scheduler.now();
    fleet.warm_up_all( warm_up_rate, warm_up_time );
    load.send_for( warm_up_time + 2s, 20ms );
    auto const warm = started + warm_up_time;
    CHECK( max_in_second( load.service(), started, warm ) <= warm_up_rate + 1 );
    // Nothing is saved up: the first request goes after one interval.
    auto const usable_time =
        core::seconds_of( warm_up_time ) - 1 / warm_up_rate;
    CHECK( count_between( load.service(), started, warm ) >=
           0.9 * warm_up_rate * 3 * usable_time );
    // The rate ends with the warm-up.
    CHECK( count_between( load.service(), warm + 1s, warm + 2s ) > 40 );
    fleet.scheduler.run( 5s );
}

TEST_CASE( "the rate of a warm-up holds while coordinators are lost",
           "[exchange][warm-up]" )
{
    auto fleet = exchange_fleet( 7, 3, 3 );
    auto const path = GENERATE( as<std::string>{}, "/chat/o", "/safe/o" );
    fleet.drop_every = GENERATE( 0, 5 );
    auto load = steady_load{ fleet, path };
    load.send_for( 1s, 20ms );
    auto const started = fleet.scheduler.now();
    auto const warm = started + 6s;
    fleet.warm_up_all( warm_up_rate, 6s );
    for ( auto i = 0; i < 4; ++i )
    {
        auto const active = active_coordinator( fleet );
        REQUIRE( active >= 0 );
        fleet.kill( active );
        load.send_for( 700ms, 20ms );
        fleet.restart( active );
        load.send_for( 600ms, 20ms );
    }
    // The requirements allow half as much again, and five requests.
    CHECK( max_in_second( load.service(), started, warm ) <=
           1.5 * warm_up_rate + 5 );
    fleet.scheduler.run( 5s );
}

TEST_CASE( "a warm-up may begin at any time and end before its announced end",
           "[exchange][warm-up]" )
{
    auto f = exchange_fixture{};
    auto const m1 = core::target_id( "m1" );
    auto const now = f.scheduler.now();
    auto const limit_of = [&]( core::instant at )
    {
        return f.loads.find( m1 )->limit.per_second( at );
    };
    CHECK( f.loads.note_warm_up( m1, 3s, now ) );
    CHECK_FALSE( limit_of( now ) );
    f.loads.set_warm_up_rates( { { core::service_id( "model" ), 26.0 } }, now );
    CHECK( limit_of( now ) == 26.0 );
    SECTION( "it ends by itself" )
    {
        CHECK( limit_of( now + 2999ms ) == 26.0 );
        CHECK_FALSE( limit_of( now + 3s ) );
    }
    SECTION( "a later record ends it" )
    {
        CHECK_FALSE( f.loads.note_warm_up( m1, 0s, now ) );
        CHECK_FALSE( limit_of( now ) );
    }
    SECTION( "a configuration without a rate lifts the limit" )
    {
        f.loads.set_warm_up_rates( {}, now );
        CHECK_FALSE( limit_of( now ) );
    }
    SECTION( "the lower one of it and a reported limit holds" )
    {
        f.loads.note_limit( m1, { 4.0, now, now }, now );
        CHECK( limit_of( now ) == 4.0 );
        f.loads.note_limit( m1, { 40.0, now + 1ms, now + 1ms }, now + 1ms );
        CHECK( limit_of( now + 1ms ) == 26.0 );
        CHECK( limit_of( now + 3s ) == 40.0 );
    }
    SECTION( "a restarted target has none of the former lifetime" )
    {
        auto properties = make_target( "m1", "model" );
        properties.lifetime = core::target_lifetime( 1 );
        f.loads.put( properties );
        CHECK_FALSE( limit_of( now ) );
        CHECK_FALSE( f.loads.note_warm_up( m1, 3s, now ) );
        CHECK_FALSE( limit_of( now ) );
    }
}
