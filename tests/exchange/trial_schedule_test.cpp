#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/exchange/own_answers.hpp>
#include <pollenstream/exchange/trial_schedule.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto const start = core::instant( 100s );
auto const shared = exchange::suspect_of( exchange::prompt_part_id( 1 ) );
auto const other = exchange::suspect_of( exchange::prompt_part_id( 2 ) );

auto request( int id ) -> exchange::suspect_id
{
    return exchange::suspect_of( exchange::content_id( id ) );
}

/// In the order of suspects.
auto list( exchange::suspect_list suspects ) -> exchange::suspect_list
{
    std::sort( suspects.begin(), suspects.end() );
    return suspects;
}

/// A crash under the suspects at a target that has ended.
auto crash( exchange::crash_history& history,
            std::string const& target,
            exchange::suspect_list suspects,
            core::instant at ) -> void
{
    history.note_crash(
        { list( std::move( suspects ) ), core::target_id( target ), at } );
    history.note_ended( core::target_id( target ) );
}

/// With a quarantine of `shared` since `start` + 400 ms.
struct quarantined_history : exchange::crash_history
{
    quarantined_history() : exchange::crash_history( 6s )
    {
        for ( auto i = 0; i < 3; ++i )
            crash( *this, "t" + std::to_string( i ), { request( i ), shared },
                   start + i * 200ms );
    }
};

auto const begun_at = start + 400ms;

}

TEST_CASE( "trials of a quarantine become rare", "[exchange][crash]" )
{
    auto trials = exchange::trial_schedule( start );
    CHECK( trials.next() == start + 300ms );
    trials.begin( start + 300ms, true );
    CHECK( trials.next() == start + 2300ms );
    trials.begin( start + 3s, true );
    CHECK( trials.next() == start + 13s );
    // No more than three in ten minutes that are not free.
    auto late = 0;
    auto now = trials.next();
    while ( now < start + 10min )
    {
        trials.begin( now, false );
        ++late;
        now = trials.next();
    }
    CHECK( late == 3 );
}

TEST_CASE( "trials that are not free are few although none came before",
           "[exchange][crash]" )
{
    auto trials = exchange::trial_schedule( start );
    auto late = 0;
    for ( auto now = trials.next(); now < start + 10min; now = trials.next() )
    {
        trials.begin( now, false );
        ++late;
    }
    CHECK( late == 3 );
}

TEST_CASE( "instances agree on the trials of a quarantine",
           "[exchange][crash]" )
{
    auto mine = exchange::trial_schedule( start, 1 );
    SECTION( "the later trial counts" )
    {
        mine.merge( exchange::trial_schedule( start + 5s, 2 ) );
        CHECK( mine.next() == start + 15s );
        mine.merge( exchange::trial_schedule( start, 4 ) );
        CHECK( mine.next() == start + 15s );
    }
    SECTION( "of two at the same time the higher step counts" )
    {
        mine.merge( exchange::trial_schedule( start + 20ms, 3 ) );
        CHECK( mine.step() == 3 );
        mine.merge( exchange::trial_schedule( start - 20ms, 1 ) );
        CHECK( mine.step() == 3 );
    }
    SECTION( "a trial that showed nothing is taken back" )
    {
        mine.begin( start + 2s, true );
        CHECK( mine.step() == 2 );
        mine.revoke( start + 4s );
        CHECK( mine.next() == start + 6s );
    }
}

TEST_CASE( "a quarantined request is sent as a trial when one is due",
           "[exchange][crash]" )
{
    auto history = quarantined_history();
    auto const suspects = list( { request( 9 ), shared } );
    REQUIRE( history.is_quarantined( suspects ) );
    CHECK( history.next_trial( suspects ) == begun_at + 300ms );
    CHECK_FALSE( history.is_trial_due( suspects, begun_at + 299ms ) );
    CHECK( history.is_trial_due( suspects, begun_at + 300ms ) );
    CHECK_FALSE( history.next_trial( { request( 9 ) } ) );
    SECTION( "but only by instances that know the others" )
    {
        history.may_begin_trials = []
        {
            return false;
        };
        CHECK_FALSE( history.is_trial_due( suspects, begun_at + 1s ) );
    }
    SECTION( "and only one" )
    {
        auto told = std::vector<exchange::quarantined_group>{};
        history.on_trial = [&told]( auto const& group )
        {
            told.push_back( group );
        };
        history.begin_trial( suspects, begun_at + 1s );
        CHECK_FALSE( history.is_trial_due( suspects, begun_at + 2999ms ) );
        CHECK( history.is_trial_due( suspects, begun_at + 3s ) );
        REQUIRE( told.size() == 1 );
        CHECK( told.at( 0 ).trials.step() == 1 );
    }
    SECTION( "later if it may crash its target for another suspect" )
    {
        crash( history, "t1", { other }, start + 200ms );
        crash( history, "t2", { other }, start + 400ms );
        CHECK( history.next_trial( list( { shared, other } ) ) ==
               begun_at + 2300ms );
        CHECK( history.next_trial( suspects ) == begun_at + 300ms );
    }
}

TEST_CASE( "a trial that neither was served nor crashed is repeated soon",
           "[exchange][crash]" )
{
    auto history = quarantined_history();
    auto const suspects = list( { request( 9 ), shared } );
    auto const began = begun_at + 1s;
    history.begin_trial( suspects, began );
    SECTION( "no crash was reported" )
    {
        history.end_trial( suspects, began, began + 4s );
        CHECK( history.next_trial( suspects ) == began + 4300ms );
    }
    SECTION( "it crashed its target" )
    {
        crash( history, "t9", suspects, began + 100ms );
        history.end_trial( suspects, began, began + 4s );
        CHECK( history.next_trial( suspects ) == began + 2s );
    }
}

TEST_CASE( "trials count although all instances were restarted",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( 6s );
    auto recorded = exchange::quarantined_group{ { shared }, {} };
    recorded.has_crash_times = false;
    for ( auto i = 0; i < 5; ++i )
        recorded.crashes.push_back(
            { core::target_id( "t" + std::to_string( i ) ), start } );
    SECTION( "the first trial comes soon, the others do not" )
    {
        recorded.trials = exchange::trial_schedule( start );
        history.adopt( recorded, start );
        CHECK( history.next_trial( { shared } ) == start + 300ms );
        history.begin_trial( { shared }, start + 300ms );
        CHECK( history.next_trial( { shared } ) == start + 50300ms );
    }
    SECTION( "the pauses grow on from what is recorded" )
    {
        recorded.trials = exchange::trial_schedule( start, 4 );
        history.adopt( recorded, start );
        CHECK( history.next_trial( { shared } ) == start + 250s );
        // Reading the record again changes nothing.
        recorded.trials = exchange::trial_schedule( start + 60s, 4 );
        history.adopt( recorded, start + 60s );
        CHECK( history.next_trial( { shared } ) == start + 250s );
    }
}

TEST_CASE( "callers of quarantined requests return when a trial is answered",
           "[answers]" )
{
    using exchange::retry_after_quarantined;
    CHECK( retry_after_quarantined( 300ms ) == core::duration( 1300ms ) );
    CHECK( retry_after_quarantined( -2s ) == core::duration( 1s ) );
    CHECK_FALSE( retry_after_quarantined( 10s ) );
}
