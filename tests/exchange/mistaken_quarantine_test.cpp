#include "support/part_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

// Guards against holding back sound requests because targets crashed for
// another cause while the instances knew little of what had been served.

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Time after which a mistake has to be over.
constexpr auto longest_mistake = core::duration( 4s );

/// Crashes `count` of the targets to which requests were sent last, all at one
/// moment.
auto crash_busy( fleet_targets& targets, std::size_t count ) -> void
{
    auto busy = std::vector<core::target_id>{};
    for ( auto run = targets.runs.rbegin();
          run != targets.runs.rend() && busy.size() < count; ++run )
        if ( targets.has( run->target ) &&
             std::find( busy.begin(), busy.end(), run->target ) == busy.end() )
            busy.push_back( run->target );
    for ( auto const& id : busy )
        targets.crash( id );
}

/// Requests that began at `since` or later, and those of them that were served.
struct outcome
{
    std::int64_t served{ 0 };
    std::int64_t all{ 0 };
};

auto outcome_since( std::vector<std::shared_ptr<fleet_call>> const& calls,
                    core::instant since ) -> outcome
{
    auto found = outcome{};
    for ( auto const& call : calls )
    {
        if ( call->began < since )
            continue;
        ++found.all;
        found.served += call->served ? 1 : 0;
    }
    return found;
}

/// Number of parts of prompts that all instances have held back.
auto count_quarantined_parts( exchange_fleet& fleet ) -> int
{
    auto found = 0;
    for ( auto i = 0; i < fleet.size(); ++i )
        for ( auto const& e : fleet.at( i ).log.all )
            if ( auto const* c = std::get_if<exchange::state_change>( &e ) )
                found += c->what == "prompt_part" && c->now == "quarantined";
    return found;
}

/// Sends a plain call that is asked for again and again.
auto send_hot_call( exchange_fleet& fleet, core::duration time )
    -> std::vector<std::shared_ptr<fleet_call>>
{
    auto calls = std::vector<std::shared_ptr<fleet_call>>{};
    auto const end = fleet.scheduler.now() + time;
    for ( auto i = 0; fleet.scheduler.now() < end; ++i )
    {
        calls.push_back( fleet.call( i % fleet.size(), "/safe/o", "status" ) );
        fleet.scheduler.run( 20ms );
    }
    return calls;
}

}

TEST_CASE( "a restart of all instances beside a crash of targets holds back no "
           "sound prompt for long",
           "[exchange][crash]" )
{
    auto const instances = GENERATE( 1, 3, 30, 63 );
    auto fleet = exchange_fleet( instances, 18, 2 );
    auto load = part_load( fleet );
    load.next_fatal = core::instant::max();
    load.send_for( 1s );
    restart_all( fleet, 500ms );
    auto const crashed = GENERATE( 3U, 8U );
    load.send_for( load.sound_period * static_cast<int>( crashed ) );
    crash_busy( fleet.engines, crashed );
    auto const crashed_at = fleet.scheduler.now();
    load.send_for( longest_mistake + 3s );
    fleet.scheduler.run( 3s );
    auto const late = outcome_since( load.sound, crashed_at + longest_mistake );
    CHECK( late.all > 60 );
    CHECK( late.served == late.all );
    CHECK( count_quarantined_parts( fleet ) == 0 );
}

TEST_CASE( "a crash of targets holds back no prompt part that is new for long",
           "[exchange][crash]" )
{
    auto fleet = exchange_fleet( 2, 18, 2 );
    auto load = part_load( fleet );
    load.next_fatal = core::instant::max();
    load.send_for( 2s );
    load.sound_part = exchange::prompt_part_id( 0x77 );
    load.send_for( 100ms );
    crash_busy( fleet.engines, 3 );
    auto const crashed_at = fleet.scheduler.now();
    load.send_for( longest_mistake + 3s );
    fleet.scheduler.run( 3s );
    auto const late = outcome_since( load.sound, crashed_at + longest_mistake );
    CHECK( late.served == late.all );
}

TEST_CASE( "a crash of targets holds back no call that is asked for often",
           "[exchange][crash]" )
{
    auto fleet = exchange_fleet( 3, 2, 8 );
    fleet.plain.time.prefill = 200ms;
    send_hot_call( fleet, 1s );
    restart_all( fleet, 500ms );
    send_hot_call( fleet, 150ms );
    crash_busy( fleet.plain, 5 );
    send_hot_call( fleet, longest_mistake );
    auto const calls = send_hot_call( fleet, 2s );
    fleet.scheduler.run( 3s );
    auto const late = outcome_since( calls, core::instant{} );
    CHECK( late.served == late.all );
}

TEST_CASE( "a mistaken quarantine in the store ends after a restart of all",
           "[exchange][crash]" )
{
    auto fleet = exchange_fleet( 7, 18, 2 );
    auto load = part_load( fleet );
    load.next_fatal = core::instant::max();
    auto mistake = exchange::quarantined_group{
        { exchange::suspect_of( first_part ) }, {} };
    for ( auto const* target : { "lost-1", "lost-2", "lost-3" } )
        mistake.crashes.push_back( { core::target_id( target ), {} } );
    fleet.write_quarantine( mistake );
    restart_all( fleet, 500ms );
    auto const back_at = fleet.scheduler.now();
    load.send_for( longest_mistake + 3s );
    fleet.scheduler.run( 3s );
    auto const late = outcome_since( load.sound, back_at + longest_mistake );
    CHECK( late.served == late.all );
}
