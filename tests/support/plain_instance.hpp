#ifndef TESTS_SUPPORT_PLAIN_INSTANCE_HPP
#define TESTS_SUPPORT_PLAIN_INSTANCE_HPP

#include "test_configuration.hpp"
#include <pollenstream/core/hash.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/sessions/gateway.hpp>

#include <deque>
#include <fake_engines.hpp>
#include <functional>
#include <held_time.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tests
{

namespace membership = pollenstream::membership;
namespace routing = pollenstream::routing;
namespace sessions = pollenstream::sessions;

/// A plain service whose replies are scripted; it records the calls.
class scripted_services : public ports::service_client
{
public:
    auto call( core::address const&,
               ports::service_call const& request,
               done callback ) -> void override
    {
        keys.push_back( request.key.str() );
        if ( on_call )
        {
            callback( on_call( request ) );
            return;
        }
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
    std::function<core::result<ports::service_reply>(
        ports::service_call const& )>
        on_call;                   ///< instead of scripted replies
    std::vector<std::string> keys; ///< idempotency keys of the calls
    std::vector<done> held;        ///< calls without a scripted reply
};

/// Peers that are unreachable, except for calls that `on_call` answers.
class scripted_peers : public ports::peer_client
{
public:
    auto exchange( core::address const&, ports::heartbeat const& )
        -> core::result<ports::heartbeat> override
    {
        return unreachable();
    }
    auto fetch_configuration( core::address const&,
                              core::revision,
                              std::vector<std::string> const& )
        -> core::result<ports::peer_configuration> override
    {
        return unreachable();
    }
    auto call( core::address const& peer, ports::forwarded_call const& what )
        -> core::result<state::call_outcome> override
    {
        ++calls;
        if ( on_call )
            return on_call( peer, what );
        return unreachable();
    }

    int calls{ 0 };
    std::function<core::result<state::call_outcome>(
        core::address const&, ports::forwarded_call const& )>
        on_call;

private:
    static auto unreachable() -> core::error
    {
        return { core::error_code::unreachable, "refused" };
    }
};

/// One instance in front of two targets of a plain service.
struct plain_instance
{
    explicit plain_instance( std::string const& name = "me",
                             std::int64_t number = 5 )
        : id( name ), incarnation( number )
    {
        targets.replace( { identity( "a" ), identity( "b" ) }, time.now() );
        holder.adopt( sample_bundle() ).value();
    }

    static auto identity( std::string const& id ) -> routing::target_identity
    {
        return { core::target_id( id ),
                 core::service_id( "plain" ),
                 core::data_centre_id( "here" ),
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
                   .entry( core::workspace_id( "w" ),
                           core::data_centre_id( "here" ) )
                   .ticket_prefix +
               key;
    }

    /// The port of its address is one more than the digit that ends its name.
    auto self() const -> membership::member
    {
        auto m = membership::member{};
        m.id = id;
        m.incarnation = incarnation;
        auto const last = id.str().back();
        m.peers = { "127.0.0.1", static_cast<std::uint16_t>( last - '0' + 1 ) };
        return m;
    }

    core::instance_id id;
    core::incarnation incarnation;
    standins::held_time time;
    standins::fake_engines engines{ time };
    routing::target_table targets;
    std::unique_ptr<routing::target_policy> policy =
        routing::make_policy( "predicted", 1 );
    pollenstream::admission::retry_budget retries;
    pollenstream::metrics::request_metrics metrics;
    sessions::context context{ { id, incarnation },
                               time,
                               time,
                               engines,
                               targets,
                               *policy,
                               retries,
                               metrics };
    pollenstream::adapters::http::configuration_text_codec codec;
    state::configuration_holder holder{ codec };
    state::call_ledger ledger{ id, incarnation };
    membership::member_table members{ self(), 1 };
    scripted_services services;
    scripted_peers peers;
    sessions::gateway gateway{ context,
                               holder,
                               members,
                               ledger,
                               services,
                               peers,
                               std::chrono::seconds( 10 ) };
    std::vector<state::call_outcome> outcomes;
};

}

#endif
