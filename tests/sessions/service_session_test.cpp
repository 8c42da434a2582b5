#include "support/test_configuration.hpp"
#include <pollenstream/core/hash.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/sessions/gateway.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <fake_engines.hpp>
#include <held_time.hpp>

using namespace std::chrono_literals;
using namespace tests;
using ports::answer_status;
namespace membership = pollenstream::membership;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;

namespace
{

/// A plain service whose answers are scripted; it counts what reached it.
class scripted_services : public ports::service_client
{
public:
    auto call( core::address const&,
               ports::service_call const& request,
               done callback ) -> void override
    {
        keys.push_back( request.key.str() );
        if ( replies.empty() )
        {
            held.push_back( std::move( callback ) );
            return;
        }
        auto const reply = replies.front();
        replies.pop_front();
        callback( reply );
    }

    std::deque<core::result<ports::service_reply>> replies;
    std::vector<std::string> keys; ///< of the calls that came
    std::vector<done> held;        ///< calls without a scripted reply
};

/// Peers that cannot be reached.
class no_peers : public ports::peer_client
{
public:
    auto exchange( core::address const&, ports::heartbeat const& )
        -> core::result<ports::heartbeat> override
    {
        return gone();
    }
    auto fetch_configuration( core::address const&,
                              core::revision,
                              std::vector<std::string> const& )
        -> core::result<ports::peer_configuration> override
    {
        return gone();
    }
    auto call( core::address const&, ports::forwarded_call const& )
        -> core::result<state::call_outcome> override
    {
        ++calls;
        return gone();
    }

    int calls{ 0 };

private:
    static auto gone() -> core::error
    {
        return { core::error_code::unreachable, "refused" };
    }
};

/// One instance before two targets of a plain service.
struct plain_instance
{
    plain_instance()
    {
        targets.replace( { identity( "a" ), identity( "b" ) }, time.now() );
        auto const adopted = holder.adopt( sample_bundle() );
        REQUIRE( adopted );
    }

    static auto identity( std::string const& id ) -> routing::target_identity
    {
        return { core::target_id( id ),
                 core::service_id( "plain" ),
                 core::place_id( "here" ),
                 { "127.0.0.1", 1 } };
    }

    static auto sample_bundle() -> state::configuration_bundle
    {
        auto bundle = state::configuration_bundle{};
        auto const text = sample_document( 1 );
        bundle.head.revision = core::revision( 1 );
        bundle.head.documents["sample.ini"] = core::content_hash( text );
        bundle.texts["sample.ini"] = text;
        return bundle;
    }

    auto call( std::string const& profile,
               std::optional<std::string> const& ticket = std::nullopt,
               std::string const& key = {} ) -> void
    {
        auto wanted = sessions::plain_call{};
        wanted.service = core::service_id( "plain" );
        wanted.profile = core::profile_id( profile );
        wanted.workspace = core::workspace_id( "w" );
        wanted.ticket = ticket;
        wanted.call.method = "POST";
        wanted.call.path = "/";
        wanted.call.key = core::idempotency_key( key );
        gateway.call( wanted,
                      [this]( state::call_outcome const& outcome )
                      {
                          outcomes.push_back( outcome );
                      } );
    }

    auto ticket( std::string const& key ) -> std::string
    {
        return gateway
                   .entry( core::workspace_id( "w" ), core::place_id( "here" ) )
                   .ticket_prefix +
               key;
    }

    standins::held_time time;
    standins::fake_engines engines{ time };
    routing::target_table targets;
    std::unique_ptr<routing::target_policy> policy =
        routing::make_policy( "predicted", 1 );
    pollenstream::admission::retry_budget retries;
    pollenstream::metrics::request_metrics metrics;
    sessions::context shared{
        { core::instance_id( "me" ), core::incarnation( 5 ) },
        time,
        time,
        engines,
        targets,
        *policy,
        retries,
        metrics };
    pollenstream::adapters::http::configuration_text_codec codec;
    state::configuration_holder holder{ codec };
    state::call_ledger ledger{ core::instance_id( "me" ),
                               core::incarnation( 5 ) };
    membership::member_table members{ []
                                      {
                                          auto m = membership::member{};
                                          m.id = core::instance_id( "me" );
                                          m.incarnation =
                                              core::incarnation( 5 );
                                          return m;
                                      }(),
                                      1 };
    scripted_services services;
    no_peers peers;
    sessions::gateway gateway{ shared,   holder, members, ledger,
                               services, peers,  10s };
    std::vector<state::call_outcome> outcomes;
};

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
