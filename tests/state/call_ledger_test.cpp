#include <pollenstream/core/invariant.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace state = pollenstream::state;
using pollenstream::ports::answer_status;
using step = state::call_ledger::step;

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

TEST_CASE( "a ticket reads as it was written", "[tickets]" )
{
    auto const ticket = ticket_for( "a:b/c" );
    auto const read = state::parse_ticket( state::to_string( ticket ) );
    REQUIRE( read );
    CHECK( read.value().instance == ticket.instance );
    CHECK( read.value().incarnation == ticket.incarnation );
    CHECK( read.value().expires == ticket.expires );
    CHECK( read.value().key == ticket.key );
    for ( auto const* const bad : { "", "a", "a:1:2", "a:1:2:", ":1:2:k",
                                    "a:x:2:k", "a:-1:2:k", "a:1:2x:k" } )
        CHECK_FALSE( state::parse_ticket( bad ) );
}

TEST_CASE( "a call runs once under its ticket", "[tickets]" )
{
    auto ledger =
        state::call_ledger( core::instance_id( "me" ), core::incarnation( 5 ) );
    auto const ticket = ticket_for( "k" );
    auto told = std::vector<answer_status>{};
    auto const note = [&]( state::call_outcome const& outcome )
    {
        told.push_back( outcome.status );
    };
    REQUIRE( ledger.begin( ticket, "s", start, note ) == step::run );

    SECTION( "also when the same key comes while it runs" )
    {
        CHECK( ledger.begin( ticket, "s", start, note ) == step::wait );
        CHECK( told.empty() );
        ledger.finish( ticket, "s", outcome_of( answer_status::complete ) );
        CHECK( told == std::vector( 2, answer_status::complete ) );
    }
    SECTION( "and its outcome is told again later" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::unknown ) );
        CHECK( ledger.begin( ticket, "s", start + 59s, note ) == step::wait );
        CHECK( told == std::vector( 2, answer_status::unknown ) );
    }
    SECTION( "and never after its time" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::complete ) );
        ledger.expire( start + 61s );
        CHECK( ledger.size() == 0 );
        CHECK( ledger.begin( ticket, "s", start + 61s, note ) ==
               step::expired );
    }
    SECTION( "and is not forgotten while it runs" )
    {
        ledger.expire( start + 1h );
        CHECK( ledger.size() == 1 );
    }
    SECTION( "and again only if it provably did not run" )
    {
        ledger.finish( ticket, "s", outcome_of( answer_status::not_run ) );
        CHECK( ledger.begin( ticket, "s", start, note ) == step::run );
    }
    SECTION( "while equal keys of other scopes are other calls" )
    {
        CHECK( ledger.begin( ticket, "t", start, note ) == step::run );
    }
    SECTION( "and none begins once the instance is closed" )
    {
        ledger.close();
        CHECK( ledger.begin( ticket_for( "new" ), "s", start, note ) ==
               step::closed );
        CHECK( ledger.begin( ticket, "s", start, note ) == step::wait );
    }
}

TEST_CASE( "tickets of other incarnations are not ours", "[tickets]" )
{
    auto const ledger =
        state::call_ledger( core::instance_id( "me" ), core::incarnation( 6 ) );
    CHECK_FALSE( ledger.is_ours( ticket_for( "k" ) ) );
}
