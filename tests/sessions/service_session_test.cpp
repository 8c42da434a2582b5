#include "support/plain_instance.hpp"
#include "support/recorded_answer.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;
using ports::answer_status;

namespace
{

auto reply( std::string const& body ) -> ports::service_reply
{
    return { 200, "text/plain", body };
}

auto const refused = core::error{ core::error_code::unreachable, "refused" };
auto const lost = core::error{ core::error_code::connection_lost, "reset" };

}

TEST_CASE( "an idempotent call is tried again elsewhere", "[services]" )
{
    auto one = plain_instance();
    one.services.replies = { lost, refused, reply( "fine" ) };
    one.targets.replace( { plain_instance::identity( "a" ),
                           plain_instance::identity( "b" ),
                           plain_instance::identity( "c" ) },
                         one.time.now() );
    one.call( "often" );
    REQUIRE( one.outcomes.size() == 1 );
    CHECK( one.outcomes.front().status == answer_status::complete );
    CHECK( one.services.keys.size() == 3 );
}

TEST_CASE( "a non-idempotent call whose answer is lost is not sent again",
           "[services][tickets]" )
{
    auto one = plain_instance();
    one.services.replies = { lost, reply( "second run" ) };
    auto const ticket = one.ticket( "k" );
    one.call( "once", ticket );
    one.call( "once", ticket );
    REQUIRE( one.outcomes.size() == 2 );
    CHECK( one.outcomes[0].status == answer_status::unknown );
    CHECK( one.outcomes[1].status == answer_status::unknown );
    CHECK( one.services.keys == std::vector<std::string>{ "k" } );
}

TEST_CASE( "a call that never reached its service says not run and may be "
           "sent again",
           "[services][tickets]" )
{
    auto one = plain_instance();
    one.services.replies = { refused, reply( "fine" ) };
    auto const ticket = one.ticket( "k" );
    one.call( "once", ticket );
    one.call( "once", ticket );
    REQUIRE( one.outcomes.size() == 2 );
    CHECK( one.outcomes[0].status == answer_status::not_run );
    CHECK( one.outcomes[1].status == answer_status::complete );
}

TEST_CASE( "a call that is still out at its deadline is told as unknown",
           "[services]" )
{
    auto one = plain_instance();
    one.call( "once", one.ticket( "k" ) );
    REQUIRE( one.outcomes.empty() );
    one.time.advance( 31s );
    REQUIRE( one.outcomes.size() == 1 );
    CHECK( one.outcomes.front().status == answer_status::unknown );

    SECTION( "and its late answer changes nothing" )
    {
        one.services.held.front()( reply( "late" ) );
        CHECK( one.outcomes.size() == 1 );
        CHECK( one.metrics.stray_events.value() == 1 );
    }
}

TEST_CASE( "a call that may be repeated waits for its silent target until its "
           "time is over",
           "[services][silence]" )
{
    auto one = plain_instance();
    one.call( "often" );
    REQUIRE( one.services.held.size() == 1 );
    one.time.advance( 29s );
    CHECK( one.outcomes.empty() );
    CHECK( one.services.held.size() == 1 );

    SECTION( "which answers" )
    {
        one.services.held.front()( reply( "fine" ) );
        REQUIRE( one.outcomes.size() == 1 );
        CHECK( one.outcomes.front().status == answer_status::complete );
    }
    SECTION( "which does not" )
    {
        one.time.advance( 2s );
        REQUIRE( one.outcomes.size() == 1 );
        CHECK( one.outcomes.front().reason == "deadline" );
        one.services.held.front()( reply( "late" ) );
    }
    CHECK( one.targets.find( core::target_id( "a" ) )->open_requests() == 0 );
    CHECK( one.targets.find( core::target_id( "b" ) )->open_requests() == 0 );
}

TEST_CASE( "equal tickets at once are one run with one answer",
           "[services][tickets]" )
{
    auto one = plain_instance();
    auto const ticket = one.ticket( "k" );
    one.call( "once", ticket );
    one.call( "once", ticket );
    REQUIRE( one.services.held.size() == 1 );
    one.services.held.front()( reply( "fine" ) );
    REQUIRE( one.outcomes.size() == 2 );
    CHECK( one.outcomes[1].reply.body == "fine" );
}

TEST_CASE( "a ticket of an incarnation that has ended is told as unknown",
           "[services][tickets]" )
{
    auto one = plain_instance();

    SECTION( "of this instance" )
    {
        one.call( "once", "me:4:99999999:k" );
    }
    SECTION( "of an instance that nobody knows" )
    {
        one.call( "once", "other:1:99999999:k" );
    }
    SECTION( "of a peer that cannot be reached" )
    {
        auto other = membership::member{};
        other.id = core::instance_id( "other" );
        other.incarnation = core::incarnation( 1 );
        one.members.merge( other, one.time.now() );
        one.call( "once", "other:1:99999999:k" );
        CHECK( one.peers.calls == 1 );
    }
    REQUIRE( one.outcomes.size() == 1 );
    CHECK( one.outcomes.front().status == answer_status::unknown );
    CHECK( one.services.keys.empty() );
}

TEST_CASE( "what the gateway refuses reaches no service", "[services]" )
{
    auto one = plain_instance();

    SECTION( "an unknown profile" )
    {
        one.call( "none" );
        CHECK( one.outcomes.front().reason == "unknown-profile" );
    }
    SECTION( "a profile of another service" )
    {
        one.call( "quick-1" );
        CHECK( one.outcomes.front().reason == "unknown-profile" );
    }
    SECTION( "a key without a ticket" )
    {
        one.call( "once", std::nullopt, "key" );
        CHECK( one.outcomes.front().reason == "ticket-required" );
    }
    SECTION( "a malformed ticket" )
    {
        one.call( "once", "nonsense" );
        CHECK( one.outcomes.front().reason == "bad-ticket" );
    }
    SECTION( "anything new once it is closed" )
    {
        auto const ticket = one.ticket( "k" );
        one.gateway.close();
        one.call( "once", ticket );
        one.call( "often" );
        CHECK( one.outcomes.back().reason == "leaving" );
        CHECK( one.outcomes.front().reason == "leaving" );
    }
    CHECK( one.outcomes.front().status == answer_status::not_run );
    CHECK( one.services.keys.empty() );
}

TEST_CASE( "a profile's limit holds for each workspace apart", "[limits]" )
{
    auto one = plain_instance();
    auto const reason = [&]( std::string const& workspace )
    {
        auto answer = std::make_shared<recorded_answer>();
        auto wanted = sessions::request{};
        wanted.workspace = core::workspace_id( workspace );
        wanted.prompt = std::make_shared<std::string const>( "prompt" );
        one.gateway.answer( core::profile_id( "limited" ), wanted, answer );
        return answer->end()->reason;
    };
    // No engine is there, so that what passes the limit meets no target.
    CHECK( reason( "a" ) == "no-target" );
    CHECK( reason( "a" ) == "no-target" );
    CHECK( reason( "a" ) == "workspace-limit" );
    CHECK( reason( "b" ) == "no-target" );
    one.time.advance( 2s );
    CHECK( reason( "a" ) == "no-target" );
}
