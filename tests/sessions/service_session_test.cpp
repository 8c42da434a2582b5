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

TEST_CASE( "an idempotent call is retried at other targets", "[services]" )
{
    auto instance = plain_instance();
    instance.services.replies = { lost, refused, reply( "fine" ) };
    instance.targets.replace( { plain_instance::identity( "a" ),
                                plain_instance::identity( "b" ),
                                plain_instance::identity( "c" ) },
                              instance.time.now() );
    instance.call( "often" );
    REQUIRE( instance.outcomes.size() == 1 );
    CHECK( instance.outcomes.front().status == answer_status::complete );
    CHECK( instance.services.keys.size() == 3 );
}

TEST_CASE( "a non-idempotent call whose answer is lost is not sent again",
           "[services][tickets]" )
{
    auto instance = plain_instance();
    instance.services.replies = { lost, reply( "second run" ) };
    auto const ticket = instance.ticket( "k" );
    instance.call( "once", ticket );
    instance.call( "once", ticket );
    REQUIRE( instance.outcomes.size() == 2 );
    CHECK( instance.outcomes[0].status == answer_status::unknown );
    CHECK( instance.outcomes[1].status == answer_status::unknown );
    CHECK( instance.services.keys == std::vector<std::string>{ "k" } );
}

TEST_CASE( "a call that never reached its service is reported as not run and "
           "may be retried",
           "[services][tickets]" )
{
    auto instance = plain_instance();
    instance.services.replies = { refused, reply( "fine" ) };
    auto const ticket = instance.ticket( "k" );
    instance.call( "once", ticket );
    instance.call( "once", ticket );
    REQUIRE( instance.outcomes.size() == 2 );
    CHECK( instance.outcomes[0].status == answer_status::not_run );
    CHECK( instance.outcomes[1].status == answer_status::complete );
}

TEST_CASE( "a call without a reply at its deadline is reported as unknown",
           "[services]" )
{
    auto instance = plain_instance();
    instance.call( "once", instance.ticket( "k" ) );
    REQUIRE( instance.outcomes.empty() );
    instance.time.advance( 31s );
    REQUIRE( instance.outcomes.size() == 1 );
    CHECK( instance.outcomes.front().status == answer_status::unknown );

    SECTION( "and its late reply changes nothing" )
    {
        instance.services.held.front()( reply( "late" ) );
        CHECK( instance.outcomes.size() == 1 );
        CHECK( instance.metrics.stray_events.value() == 1 );
    }
}

TEST_CASE( "an idempotent call waits for its silent target until its "
           "deadline",
           "[services][silence]" )
{
    auto instance = plain_instance();
    instance.call( "often" );
    REQUIRE( instance.services.held.size() == 1 );
    instance.time.advance( 29s );
    CHECK( instance.outcomes.empty() );
    CHECK( instance.services.held.size() == 1 );

    SECTION( "and the target replies" )
    {
        instance.services.held.front()( reply( "fine" ) );
        REQUIRE( instance.outcomes.size() == 1 );
        CHECK( instance.outcomes.front().status == answer_status::complete );
    }
    SECTION( "and the target does not reply" )
    {
        instance.time.advance( 2s );
        REQUIRE( instance.outcomes.size() == 1 );
        CHECK( instance.outcomes.front().reason == "deadline" );
        instance.services.held.front()( reply( "late" ) );
    }
    CHECK( instance.targets.find( core::target_id( "a" ) )->open_requests() ==
           0 );
    CHECK( instance.targets.find( core::target_id( "b" ) )->open_requests() ==
           0 );
}

TEST_CASE( "concurrent calls with one ticket run once and share the reply",
           "[services][tickets]" )
{
    auto instance = plain_instance();
    auto const ticket = instance.ticket( "k" );
    instance.call( "once", ticket );
    instance.call( "once", ticket );
    REQUIRE( instance.services.held.size() == 1 );
    instance.services.held.front()( reply( "fine" ) );
    REQUIRE( instance.outcomes.size() == 2 );
    CHECK( instance.outcomes[1].reply.body == "fine" );
}

TEST_CASE( "a call with the ticket of an ended incarnation is unknown",
           "[services][tickets]" )
{
    auto instance = plain_instance();

    SECTION( "of this instance" )
    {
        instance.call( "once", "me:4:99999999:k" );
    }
    SECTION( "of an unknown instance" )
    {
        instance.call( "once", "other:1:99999999:k" );
    }
    SECTION( "of an unreachable peer" )
    {
        auto peer = membership::member{};
        peer.id = core::instance_id( "other" );
        peer.incarnation = core::incarnation( 1 );
        instance.members.merge( peer, instance.time.now() );
        instance.call( "once", "other:1:99999999:k" );
        CHECK( instance.peers.calls == 1 );
    }
    REQUIRE( instance.outcomes.size() == 1 );
    CHECK( instance.outcomes.front().status == answer_status::unknown );
    CHECK( instance.services.keys.empty() );
}

TEST_CASE( "a call that the gateway refuses reaches no service", "[services]" )
{
    auto instance = plain_instance();

    SECTION( "an unknown profile" )
    {
        instance.call( "none" );
        CHECK( instance.outcomes.front().reason == "unknown-profile" );
    }
    SECTION( "a profile of another service" )
    {
        instance.call( "quick-1" );
        CHECK( instance.outcomes.front().reason == "unknown-profile" );
    }
    SECTION( "a key without a ticket" )
    {
        instance.call( "once", std::nullopt, "key" );
        CHECK( instance.outcomes.front().reason == "ticket-required" );
    }
    SECTION( "a malformed ticket" )
    {
        instance.call( "once", "nonsense" );
        CHECK( instance.outcomes.front().reason == "bad-ticket" );
    }
    SECTION( "new calls after the gateway is closed" )
    {
        auto const ticket = instance.ticket( "k" );
        instance.gateway.close();
        instance.call( "once", ticket );
        instance.call( "often" );
        CHECK( instance.outcomes.back().reason == "leaving" );
        CHECK( instance.outcomes.front().reason == "leaving" );
    }
    CHECK( instance.outcomes.front().status == answer_status::not_run );
    CHECK( instance.services.keys.empty() );
}

TEST_CASE( "the limit of a profile applies to each workspace separately",
           "[limits]" )
{
    auto instance = plain_instance();
    auto const reason = [&]( std::string const& workspace )
    {
        auto answer = std::make_shared<recorded_answer>();
        auto request = sessions::request{};
        request.workspace = core::workspace_id( workspace );
        request.prompt = std::make_shared<std::string const>( "prompt" );
        instance.gateway.answer( core::profile_id( "limited" ), request,
                                 answer );
        return answer->end()->reason;
    };
    // There is no engine, so a request within the limit ends with `no-target`.
    CHECK( reason( "a" ) == "no-target" );
    CHECK( reason( "a" ) == "no-target" );
    CHECK( reason( "a" ) == "workspace-limit" );
    CHECK( reason( "b" ) == "no-target" );
    instance.time.advance( 2s );
    CHECK( reason( "a" ) == "no-target" );
}
