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

/// Homes of a workspace, between which its limits are divided.
constexpr auto homes_per_workspace = std::size_t{ 3 };
/// Addresses in an entry answer.
constexpr auto most_addresses = std::size_t{ 4 };
/// How long a ticket may be used.
constexpr auto ticket_time = core::duration( 1h );
constexpr auto retry_elsewhere = core::duration( 1s );
constexpr auto idle_workspace = core::duration( 60s );

auto refuse( std::string reason, std::string detail ) -> ports::answer_end
{
    auto end = ports::answer_end{};
    end.status = answer_status::not_run;
    end.reason = std::move( reason );
    end.detail = std::move( detail );
    return end;
}

auto call_refused( std::string reason, std::string detail )
    -> state::call_outcome
{
    auto outcome = state::call_outcome{};
    outcome.status = answer_status::not_run;
    outcome.reason = std::move( reason );
    outcome.detail = std::move( detail );
    return outcome;
}

auto call_unknown( std::string reason, std::string detail )
    -> state::call_outcome
{
    auto outcome = call_refused( std::move( reason ), std::move( detail ) );
    outcome.status = answer_status::unknown;
    return outcome;
}

auto scope_of( plain_call const& wanted ) -> std::string
{
    return wanted.workspace.str() + '\n' + wanted.service.str();
}

}

gateway::gateway( context& shared,
                  state::configuration_holder& holder,
                  membership::member_table& members,
                  state::call_ledger& ledger,
                  ports::service_client& services,
                  ports::peer_client& peers,
                  core::duration entry_keep )
    : shared_( shared ), holder_( holder ), members_( members ),
      ledger_( ledger ), services_( services ), peers_( peers ),
      entry_keep_( entry_keep )
{
}

auto gateway::find_profile( core::profile_id const& id ) const
    -> std::optional<profiles::profile>
{
    return holder_.read(
        [&]( profiles::configuration const& c )
            -> std::optional<profiles::profile>
        {
            auto const* const known = c.find_profile( id );
            if ( !known )
                return std::nullopt;
            return *known;
        } );
}

auto gateway::check_limits( core::workspace_id const& workspace,
                            profiles::profile const& profile,
                            core::token_count prompt ) -> core::duration
{
    auto const limits = holder_.read(
        [&]( profiles::configuration const& c )
        {
            return c.workspace_or_default( workspace );
        } );
    // The profile's own limit is counted apart, under a name of its own.
    auto of_profile = profiles::workspace{};
    of_profile.id =
        core::workspace_id( workspace.str() + '\n' + profile.id.str() );
    of_profile.requests_per_second = profile.workspace_requests_per_second;
    auto const is_unlimited = limits.requests_per_second == 0 &&
                              limits.tokens_per_second == 0 &&
                              of_profile.requests_per_second == 0;
    if ( is_unlimited )
        return core::duration( 0 );
    auto const part =
        membership::limit_share( workspace, shared_.self.instance,
                                 members_.alive(), homes_per_workspace );
    auto const now = shared_.clock.now();
    auto const wait = limits_.take( of_profile, part, prompt, now );
    if ( wait > core::duration( 0 ) )
        return wait;
    return limits_.take( limits, part, prompt, now );
}

auto gateway::answer( core::profile_id const& profile,
                      request wanted,
                      std::shared_ptr<ports::answer_sink> sink ) -> void
{
    auto const refuse_with = [&]( ports::answer_end const& end )
    {
        shared_.metrics.refusals.add( end.reason );
        sink->finish( end );
    };
    if ( closed_.load() )
    {
        auto end = refuse( "leaving", "this instance is stopping" );
        end.retry_after = retry_elsewhere;
        refuse_with( end );
        return;
    }
    auto const known = find_profile( profile );
    if ( !known )
    {
        refuse_with(
            refuse( "unknown-profile", "no profile '" + profile.str() + "'" ) );
        return;
    }
    auto const wait = check_limits( wanted.workspace, *known,
                                    core::estimate_tokens( *wanted.prompt ) );
    if ( wait > core::duration( 0 ) )
    {
        auto end = refuse( "workspace-limit", "the workspace is at its limit" );
        end.retry_after = wait;
        refuse_with( end );
        return;
    }
    auto const opened = std::make_shared<session>( shared_, std::move( wanted ),
                                                   *known, std::move( sink ) );
    opened->start();
}

auto gateway::call( plain_call const& wanted, call_done callback ) -> void
{
    if ( wanted.ticket )
    {
        auto const ticket = state::parse_ticket( *wanted.ticket );
        if ( !ticket )
        {
            callback( call_refused( "bad-ticket", ticket.error().detail ) );
            return;
        }
        if ( !ledger_.names_this_incarnation( ticket.value() ) )
        {
            forward( wanted, ticket.value(), callback );
            return;
        }
    }
    call_here( wanted, std::move( callback ) );
}

auto gateway::call_here( plain_call const& wanted, call_done callback ) -> void
{
    auto const known = find_profile( wanted.profile );
    if ( !known || known->service != wanted.service )
    {
        callback( call_refused( "unknown-profile",
                                "no profile '" + wanted.profile.str() +
                                    "' for service '" + wanted.service.str() +
                                    "'" ) );
        return;
    }
    if ( known->idempotent )
    {
        if ( closed_.load() )
            callback( call_refused( "leaving", "this instance is stopping" ) );
        else
            start_call( *known, wanted.call, std::move( callback ) );
        return;
    }
    auto ticket = state::call_ticket{};
    if ( wanted.ticket )
    {
        auto const parsed = state::parse_ticket( *wanted.ticket );
        if ( !parsed )
        {
            callback( call_refused( "bad-ticket", parsed.error().detail ) );
            return;
        }
        ticket = parsed.value();
    }
    else if ( !wanted.call.key.empty() )
    {
        callback( call_refused(
            "ticket-required",
            "join the ticket_prefix of GET /v1/entry and the key into a "
            "Pollenstream-Ticket header, and send the same one again" ) );
        return;
    }
    else
    {
        // Each call without a ticket is a call of its own: nobody can send it
        // again, so nobody can run it twice.
        auto const own = ticket_prefix() + "own-" +
                         std::to_string( next_key_.fetch_add( 1 ) );
        ticket = state::parse_ticket( own ).value();
    }
    if ( !ledger_.names_this_incarnation( ticket ) )
    {
        callback( call_unknown( "ticket-lost",
                                "the incarnation that the ticket names has "
                                "ended; the call may have run" ) );
        return;
    }
    run_once( wanted, *known, ticket, std::move( callback ) );
}

auto gateway::run_once( plain_call const& wanted,
                        profiles::profile const& profile,
                        state::call_ticket const& ticket,
                        call_done callback ) -> void
{
    auto const scope = scope_of( wanted );
    auto const step =
        ledger_.begin( ticket, scope, shared_.clock.now(), callback );
    if ( step == state::call_ledger::begin_result::expired )
    {
        callback( call_unknown( "ticket-expired",
                                "the ticket's time is over; the call may have "
                                "run" ) );
        return;
    }
    if ( step == state::call_ledger::begin_result::closed )
    {
        callback( call_refused( "leaving", "this instance is stopping" ) );
        return;
    }
    if ( step == state::call_ledger::begin_result::wait )
        return;
    auto once = wanted.call;
    once.key = ticket.key;
    start_call( profile, once,
                [this, ticket, scope]( state::call_outcome const& outcome )
                {
                    ledger_.finish( ticket, scope, outcome );
                } );
}

auto gateway::start_call( profiles::profile const& profile,
                          ports::service_call const& call,
                          call_done callback ) -> void
{
    auto const opened = std::make_shared<service_session>(
        shared_, services_, profile, call, std::move( callback ) );
    opened->start();
}

auto gateway::forward( plain_call const& wanted,
                       state::call_ticket const& ticket,
                       call_done const& callback ) -> void
{
    auto const owner = members_.find( ticket.instance );
    auto const is_there = owner && owner->incarnation == ticket.incarnation &&
                          owner->phase != membership::member_phase::gone;
    if ( !is_there )
    {
        callback( call_unknown( "ticket-lost",
                                "the instance that the ticket names is gone; "
                                "the call may have run" ) );
        return;
    }
    auto const known = find_profile( wanted.profile );
    auto message = ports::forwarded_call{};
    message.service = wanted.service;
    message.profile = wanted.profile;
    message.workspace = wanted.workspace;
    message.ticket = *wanted.ticket;
    message.call = wanted.call;
    auto const limit =
        known ? profiles::time_limit( *known, core::token_count( 0 ) )
              : core::duration( 1s );
    auto const asked = wanted.call.time_left;
    message.call.time_left =
        asked > core::duration( 0 ) ? std::min( asked, limit ) : limit;
    auto const outcome = peers_.call( owner->peers, message );
    if ( outcome )
        callback( outcome.value() );
    else
        callback(
            call_unknown( "ticket-unreachable", outcome.error().detail ) );
}

auto gateway::ticket_prefix() const -> std::string
{
    auto ticket = state::call_ticket{};
    ticket.instance = shared_.self.instance;
    ticket.incarnation = shared_.self.incarnation;
    ticket.expires = shared_.clock.now() + ticket_time;
    return state::to_string( ticket );
}

auto gateway::entry( core::workspace_id const& workspace,
                     core::data_centre_id const& data_centre ) -> entry_answer
{
    auto const alive = members_.alive();
    auto ordered = membership::limit_owners( workspace, alive, alive.size() );
    auto const homes = std::min( homes_per_workspace, ordered.size() );
    auto const split = ordered.begin() + static_cast<std::ptrdiff_t>( homes );
    auto const is_near = [&]( membership::member const& m )
    {
        return m.data_centre == data_centre;
    };
    std::stable_partition( ordered.begin(), split, is_near );
    std::stable_partition( split, ordered.end(), is_near );
    auto answer = entry_answer{};
    for ( auto const& each : ordered )
    {
        if ( answer.addresses.size() < most_addresses )
            answer.addresses.push_back( each.callers );
    }
    answer.keep = entry_keep_;
    answer.ticket_prefix = ticket_prefix();
    return answer;
}

auto gateway::close() -> void
{
    closed_.store( true );
    ledger_.close();
}

auto gateway::tidy() -> void
{
    auto const now = shared_.clock.now();
    limits_.forget_idle( now - idle_workspace );
    ledger_.expire( now );
}

}
