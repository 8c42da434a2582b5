#include "support/exchange_fixture.hpp"
#include <pollenstream/observation/first_service.hpp>

#include <catch2/catch.hpp>

#include <losses.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace observation = pollenstream::observation;
using observation::start_stage;

namespace
{

auto refused( std::string reason ) -> exchange::event
{
    auto e = exchange::request_refused{};
    e.reason = std::move( reason );
    return e;
}

auto ended( std::string outcome ) -> exchange::event
{
    auto e = exchange::request_ended{};
    e.outcome = std::move( outcome );
    return e;
}

struct started_process
{
    /// The states of the process that were recorded, with what they say.
    auto states() const -> std::vector<std::string>
    {
        auto found = std::vector<std::string>{};
        for ( auto const& e : written.all )
            if ( auto const* change =
                     std::get_if<exchange::state_change>( &e ) )
                found.push_back( change->now + " " + change->because );
        return found;
    }

    held_scheduler scheduler;
    recorded_events written;
    observation::first_service first{ written, scheduler,
                                      core::instance_id( "n1" ) };
};

auto line( std::string const& instance, std::string const& rest ) -> std::string
{
    return "time=t event=belief what=process name=" + instance + " " + rest;
}

}

TEST_CASE( "an instance records what it waited for until it served first",
           "[log]" )
{
    auto process = started_process{};
    process.scheduler.run( 10ms );
    process.first.note( start_stage::configuration );
    process.scheduler.run( 2ms );
    process.first.note( start_stage::targets );
    process.first.record( refused( "quarantined" ) );
    process.first.record( ended( "quarantined" ) );
    process.scheduler.run( 8ms );
    process.first.record( exchange::request_placed{} );
    CHECK_FALSE( process.first.served_after() );
    process.scheduler.run( 30ms );
    process.first.record( ended( "served" ) );
    process.first.record( ended( "served" ) );
    CHECK( process.first.served_after() == core::duration( 50ms ) );
    CHECK( process.states() ==
           std::vector<std::string>{ "serving configuration:10 targets:12 "
                                     "request:12 placed:20 "
                                     "refused_quarantined:1" } );
    // All events are passed on.
    CHECK( process.written.all.size() == 6 );
}

TEST_CASE( "an instance that refuses all requests says so once", "[log]" )
{
    auto process = started_process{};
    for ( auto i = 0; i < 10; ++i )
    {
        process.first.record( refused( "no_configuration" ) );
        process.scheduler.run( 1s );
    }
    CHECK( process.states() ==
           std::vector<std::string>{ "not_serving configuration:never "
                                     "targets:never request:0 placed:never "
                                     "refused_no_configuration:7" } );
}

TEST_CASE( "losses tells what kept processes from serving after their start",
           "[losses]" )
{
    auto account = apps::tool::loss_account{};
    for ( auto const& text :
          { line( "a", "now=started because=incarnation age_ms=0.0" ),
            line( "a", "now=serving because=\"targets:12 refused_limited:2\" "
                       "age_ms=40.0" ),
            line( "b", "now=started because=incarnation age_ms=0.0" ),
            line( "b", "now=not_serving because=\"targets:30 "
                       "refused_quarantined:9\" age_ms=5100.0" ),
            line( "b", "now=started because=incarnation age_ms=0.0" ) } )
        account.take( text );
    auto const& starts = account.starts();
    CHECK( starts.starts() == 3 );
    CHECK( starts.overdue() == 1 );
    CHECK( starts.never_served() == 2 );
    CHECK( starts.served_after_ms() == std::vector<double>{ 40 } );
    CHECK( starts.longest_stages_ms().at( "targets" ) == 30 );
    CHECK( starts.refused().at( "quarantined" ) == 9 );
    CHECK( starts.refused().at( "limited" ) == 2 );
}
