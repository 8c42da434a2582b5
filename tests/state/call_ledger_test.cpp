#include <pollenstream/core/invariant.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace state = pollenstream::state;
using pollenstream::ports::answer_status;
using begin_result = state::call_ledger::begin_result;

namespace
{

auto const start = core::instant( 100s );

auto ticket_for( std::string const& key ) -> state::call_ticket
{
    return { core::instance_id( "me" ), core::incarnation( 5 ), start + 60s,
             core::idempotency_key( key ) };
}

auto outcome_of( answer_status status ) -> state::call_outcome
{
    auto outcome = state::call_outcome{};
    outcome.status = status;
    outcome.reply.body = "reply";
    return outcome;
}

}

TEST_CASE( "a ticket can be parsed from its text form", "[tickets]" )
{
    auto const ticket = ticket_for( "a:b/c" );
    auto const read = state::parse_ticket( state::to_string( ticket ) );
    REQUIRE( read );
    CHECK( read.value().instance == ticket.instance );
    CHECK( read.value().incarnation == ticket.incarnation );
    CHECK( read.value().expires == ticket.expires );
    CHECK( read.value().key == ticket.key );
    for ( auto const* const invalid : { "", "a", "a:1:2", "a:1:2:", ":1:2:k",
                                        "a:x:2:k", "a:-1:2:k", "a:1:2x:k" } )
        CHECK_FALSE( state::parse_ticket( invalid ) );
}

TEST_CASE( "a call runs at most once per ticket", "[tickets]" )
{
    auto ledger =
        state::call_ledger( core::instance_id( "me" ), core::incarnation( 5 ) );
    auto const ticket = ticket_for( "k" );
    auto statuses = std::vector<answer_status>{};
    auto const record_status = [&]( state::call_outcome const& outcome )
    {
        statuses.push_back( outcome.status );
    };
    REQUIRE( ledger.begin( ticket, "s", start, record_status ) ==
             begin_result::run );

    SECTION( "a retry during the call waits for its outcome" )
    {
        CHECK( ledger.begin( ticket, "s", start, record_status ) ==
               begin_result::wait );
        CHECK( statuses.empty() );
        ledger.finish( ticket, "s", outcome_of( answer_status::complete ) );
        CHECK( statuses == std::vector( 2, answer_status::complete ) );
    }
    SECTION( "a retry after the call gets the same outcome" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::unknown ) );
        CHECK( ledger.begin( ticket, "s", start + 59s, record_status ) ==
               begin_result::wait );
        CHECK( statuses == std::vector( 2, answer_status::unknown ) );
    }
    SECTION( "an expired ticket does not run again" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::complete ) );
        ledger.expire( start + 61s );
        CHECK( ledger.size() == 0 );
        CHECK( ledger.begin( ticket, "s", start + 61s, record_status ) ==
               begin_result::expired );
    }
    SECTION( "a running call is kept past its ticket's expiry" )
    {
        ledger.expire( start + 1h );
        CHECK( ledger.size() == 1 );
    }
    SECTION( "a call that provably did not run may run again" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::not_run ) );
        CHECK( ledger.begin( ticket, "s", start, record_status ) ==
               begin_result::run );
    }
    SECTION( "equal keys in other scopes are separate calls" )
    {
        CHECK( ledger.begin( ticket, "t", start, record_status ) ==
               begin_result::run );
    }
    SECTION( "a closed ledger accepts no new call" )
    {
        ledger.close();
        CHECK( ledger.begin( ticket_for( "new" ), "s", start, record_status ) ==
               begin_result::closed );
        CHECK( ledger.begin( ticket, "s", start, record_status ) ==
               begin_result::wait );
    }
}

TEST_CASE( "a ticket of another incarnation is not accepted", "[tickets]" )
{
    auto const ledger =
        state::call_ledger( core::instance_id( "me" ), core::incarnation( 6 ) );
    CHECK_FALSE( ledger.names_this_incarnation( ticket_for( "k" ) ) );
}
