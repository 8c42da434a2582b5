#include <pollenstream/core/prefix_chain.hpp>
#include <pollenstream/membership/rendezvous.hpp>
#include <pollenstream/sessions/gateway.hpp>
#include <pollenstream/sessions/service_session.hpp>
#include <pollenstream/sessions/session.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::sessions
{

namespace
{

using namespace std::chrono_literals;
using ports::answer_status;

/// Number of instances among which the limits of a workspace are divided.
constexpr auto limit_owners_per_workspace = std::size_t{ 3 };
/// Maximum number of addresses in an entry answer.
constexpr auto max_entry_addresses = std::size_t{ 4 };
/// Time after which a ticket expires.
constexpr auto ticket_lifetime = core::duration( 1h );
/// Retry-after time of requests that an instance refuses while it stops; the
/// caller is expected to retry at another instance.
constexpr auto closing_retry_after = core::duration( 1s );
/// Limit state of a workspace without requests for this long is removed.
constexpr auto idle_workspace_timeout = core::duration( 60s );

auto make_refusal( std::string reason, std::string detail ) -> ports::answer_end
{
    auto end = ports::answer_end{};
    end.status = answer_status::not_run;
    end.reason = std::move( reason );
    end.detail = std::move( detail );
    return end;
}

auto refused_outcome( std::string reason, std::string detail )
    -> state::call_outcome
{
    auto outcome = state::call_outcome{};
    outcome.status = answer_status::not_run;
    outcome.reason = std::move( reason );
    outcome.detail = std::move( detail );
    return outcome;
}

auto unknown_outcome( std::string reason, std::string detail )
    -> state::call_outcome
{
    auto outcome = refused_outcome( std::move( reason ), std::move( detail ) );
    outcome.status = answer_status::unknown;
    return outcome;
}

/// Separates equal ticket keys of different workspaces and services.
auto ledger_scope( plain_call const& incoming ) -> std::string
{
    return incoming.workspace.str() + '\n' + incoming.service.str();
}

}

gateway::gateway( context& session_context,
                  state::configuration_holder& configuration,
                  membership::member_table& members,
                  state::call_ledger& ledger,
                  ports::service_client& services,
                  ports::peer_client& peers,
                  core::duration entry_cache_time )
    : context_( session_context ), configuration_( configuration ),
      members_( members ), ledger_( ledger ), services_( services ),
      peers_( peers ), entry_cache_time_( entry_cache_time )
{
}

auto gateway::find_profile( core::profile_id const& id ) const
    -> std::optional<profiles::profile>
{
    return configuration_.read(
        [&]( profiles::configuration const& c )
            -> std::optional<profiles::profile>
        {
            auto const* const found = c.find_profile( id );
            if ( !found )
                return std::nullopt;
            return *found;
        } );
}

auto gateway::apply_limits( core::workspace_id const& workspace,
                            profiles::profile const& profile,
                            core::token_count prompt ) -> core::duration
{
    auto const limits = configuration_.read(
        [&]( profiles::configuration const& c )
        {
            return c.workspace_or_default( workspace );
        } );
    // The limit of the profile has its own counter per workspace, stored under
    // an id that no workspace can have.
    auto profile_limits = profiles::workspace{};
    profile_limits.id =
        core::workspace_id( workspace.str() + '\n' + profile.id.str() );
    profile_limits.requests_per_second = profile.workspace_requests_per_second;
    auto const is_unlimited = limits.requests_per_second == 0 &&
                              limits.tokens_per_second == 0 &&
                              profile_limits.requests_per_second == 0;
    if ( is_unlimited )
        return core::duration( 0 );
    auto const share =
        membership::limit_share( workspace, context_.self.instance,
                                 members_.alive(), limit_owners_per_workspace );
    auto const now = context_.clock.now();
    auto const wait = limits_.take( profile_limits, share, prompt, now );
    if ( wait > core::duration( 0 ) )
        return wait;
    return limits_.take( limits, share, prompt, now );
}

auto gateway::answer( core::profile_id const& profile,
                      request caller_request,
                      std::shared_ptr<ports::answer_sink> sink ) -> void
{
    auto const refuse_with = [&]( ports::answer_end const& end )
    {
        context_.metrics.refusals.add( end.reason );
        sink->finish( end );
    };
    if ( closed_.load() )
    {
        auto end = make_refusal( "leaving", "this instance is stopping" );
        end.retry_after = closing_retry_after;
        refuse_with( end );
        return;
    }
    auto const found = find_profile( profile );
    if ( !found )
    {
        refuse_with( make_refusal( "unknown-profile",
                                   "no profile '" + profile.str() + "'" ) );
        return;
    }
    auto const wait =
        apply_limits( caller_request.workspace, *found,
                      core::estimate_tokens( *caller_request.prompt ) );
    if ( wait > core::duration( 0 ) )
    {
        auto end =
            make_refusal( "workspace-limit", "the workspace is at its limit" );
        end.retry_after = wait;
        refuse_with( end );
        return;
    }
    auto const new_session = std::make_shared<session>(
        context_, std::move( caller_request ), *found, std::move( sink ) );
    new_session->start();
}

auto gateway::call( plain_call const& incoming, call_done callback ) -> void
{
    if ( incoming.ticket )
    {
        auto const ticket = state::parse_ticket( *incoming.ticket );
        if ( !ticket )
        {
            callback( refused_outcome( "bad-ticket", ticket.error().detail ) );
            return;
        }
        if ( !ledger_.names_this_incarnation( ticket.value() ) )
        {
            forward( incoming, ticket.value(), callback );
            return;
        }
    }
    call_locally( incoming, std::move( callback ) );
}

auto gateway::call_locally( plain_call const& incoming, call_done callback )
    -> void
{
    auto const found = find_profile( incoming.profile );
    if ( !found || found->service != incoming.service )
    {
        callback( refused_outcome( "unknown-profile",
                                   "no profile '" + incoming.profile.str() +
                                       "' for service '" +
                                       incoming.service.str() + "'" ) );
        return;
    }
    if ( found->idempotent )
    {
        if ( closed_.load() )
            callback(
                refused_outcome( "leaving", "this instance is stopping" ) );
        else
            start_call( *found, incoming.call, std::move( callback ) );
        return;
    }
    auto ticket = state::call_ticket{};
    if ( incoming.ticket )
    {
        auto const parsed = state::parse_ticket( *incoming.ticket );
        if ( !parsed )
        {
            callback( refused_outcome( "bad-ticket", parsed.error().detail ) );
            return;
        }
        ticket = parsed.value();
    }
    else if ( !incoming.call.key.empty() )
    {
        callback( refused_outcome(
            "ticket-required",
            "join the ticket_prefix of GET /v1/entry and the key into a "
            "Pollenstream-Ticket header, and send the same one again" ) );
        return;
    }
    else
    {
        // A call without a ticket cannot be retried by its caller, so a unique
        // generated ticket is enough to run it at most once.
        auto const generated = ticket_prefix() + "own-" +
                               std::to_string( next_key_.fetch_add( 1 ) );
        ticket = state::parse_ticket( generated ).value();
    }
    if ( !ledger_.names_this_incarnation( ticket ) )
    {
        callback( unknown_outcome( "ticket-lost",
                                   "the incarnation that the ticket names has "
                                   "ended; the call may have run" ) );
        return;
    }
    run_at_most_once( incoming, *found, ticket, std::move( callback ) );
}

auto gateway::run_at_most_once( plain_call const& incoming,
                                profiles::profile const& profile,
                                state::call_ticket const& ticket,
                                call_done callback ) -> void
{
    auto const scope = ledger_scope( incoming );
    auto const step =
        ledger_.begin( ticket, scope, context_.clock.now(), callback );
    if ( step == state::call_ledger::begin_result::expired )
    {
        callback( unknown_outcome(
            "ticket-expired", "the ticket's time is over; the call may have "
                              "run" ) );
        return;
    }
    if ( step == state::call_ledger::begin_result::closed )
    {
        callback( refused_outcome( "leaving", "this instance is stopping" ) );
        return;
    }
    if ( step == state::call_ledger::begin_result::wait )
        return;
    auto keyed_call = incoming.call;
    keyed_call.key = ticket.key;
    start_call( profile, keyed_call,
                [this, ticket, scope]( state::call_outcome const& outcome )
                {
                    ledger_.finish( ticket, scope, outcome );
                } );
}

auto gateway::start_call( profiles::profile const& profile,
                          ports::service_call const& call,
                          call_done callback ) -> void
{
    auto const new_session = std::make_shared<service_session>(
        context_, services_, profile, call, std::move( callback ) );
    new_session->start();
}

auto gateway::forward( plain_call const& incoming,
                       state::call_ticket const& ticket,
                       call_done const& callback ) -> void
{
    auto const owner = members_.find( ticket.instance );
    auto const is_running = owner && owner->incarnation == ticket.incarnation &&
                            owner->phase != membership::member_phase::gone;
    if ( !is_running )
    {
        callback( unknown_outcome(
            "ticket-lost", "the instance that the ticket names is gone; "
                           "the call may have run" ) );
        return;
    }
    auto const found = find_profile( incoming.profile );
    auto message = ports::forwarded_call{};
    message.service = incoming.service;
    message.profile = incoming.profile;
    message.workspace = incoming.workspace;
    message.ticket = *incoming.ticket;
    message.call = incoming.call;
    auto const limit =
        found ? profiles::time_limit( *found, core::token_count( 0 ) )
              : core::duration( 1s );
    auto const requested = incoming.call.time_left;
    message.call.time_left =
        requested > core::duration( 0 ) ? std::min( requested, limit ) : limit;
    auto const outcome = peers_.call( owner->peers, message );
    if ( outcome )
        callback( outcome.value() );
    else
        callback(
            unknown_outcome( "ticket-unreachable", outcome.error().detail ) );
}

auto gateway::ticket_prefix() const -> std::string
{
    auto ticket = state::call_ticket{};
    ticket.instance = context_.self.instance;
    ticket.incarnation = context_.self.incarnation;
    ticket.expires = context_.clock.now() + ticket_lifetime;
    return state::to_string( ticket );
}

auto gateway::entry( core::workspace_id const& workspace,
                     core::data_centre_id const& data_centre ) -> entry_answer
{
    auto const alive = members_.alive();
    auto ordered = membership::limit_owners( workspace, alive, alive.size() );
    auto const owner_count =
        std::min( limit_owners_per_workspace, ordered.size() );
    auto const owners_end =
        ordered.begin() + static_cast<std::ptrdiff_t>( owner_count );
    auto const is_local = [&]( membership::member const& m )
    {
        return m.data_centre == data_centre;
    };
    std::stable_partition( ordered.begin(), owners_end, is_local );
    std::stable_partition( owners_end, ordered.end(), is_local );
    auto answer = entry_answer{};
    for ( auto const& each : ordered )
    {
        if ( answer.addresses.size() < max_entry_addresses )
            answer.addresses.push_back( each.callers );
    }
    answer.cache_time = entry_cache_time_;
    answer.ticket_prefix = ticket_prefix();
    return answer;
}

auto gateway::close() -> void
{
    closed_.store( true );
    ledger_.close();
}

auto gateway::remove_expired() -> void
{
    auto const now = context_.clock.now();
    limits_.forget_idle( now - idle_workspace_timeout );
    ledger_.expire( now );
}

}
