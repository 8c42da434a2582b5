#ifndef POLLENSTREAM_SESSIONS_GATEWAY_HPP
#define POLLENSTREAM_SESSIONS_GATEWAY_HPP

#include <pollenstream/admission/workspace_limits.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/ports/answer_sink.hpp>
#include <pollenstream/ports/peer.hpp>
#include <pollenstream/ports/service_client.hpp>
#include <pollenstream/sessions/context.hpp>
#include <pollenstream/sessions/request.hpp>
#include <pollenstream/state/call_ledger.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::sessions
{

/// A caller's call to a plain service, parsed and validated.
struct plain_call
{
    core::service_id service;
    core::profile_id profile;
    core::workspace_id workspace;
    std::optional<std::string> ticket;
    ports::service_call call;
};

/// The addresses that a caller should use, and the prefix for its tickets.
struct entry_answer
{
    std::vector<core::address> addresses; ///< preferred one first
    /// How long the caller may cache the addresses.
    core::duration cache_time{ 0 };
    /// Prefix of a ticket for a non-idempotent call; the caller appends its
    /// key.
    std::string ticket_prefix;
};

/// Entry point of an instance for callers: looks up the profile, applies the
/// limits of the workspace and starts a session.
class gateway
{
public:
    using call_done = std::function<void( state::call_outcome const& )>;

    gateway( context& session_context,
             state::configuration_holder& configuration,
             membership::member_table& members,
             state::call_ledger& ledger,
             ports::service_client& services,
             ports::peer_client& peers,
             core::duration entry_cache_time );

    /// Starts a session for a model request, or refuses the request through
    /// `sink`.
    auto answer( core::profile_id const& profile,
                 request caller_request,
                 std::shared_ptr<ports::answer_sink> sink ) -> void;

    /// Runs a call on this instance, or forwards it to the instance that its
    /// ticket names. Blocks while a call is forwarded.
    auto call( plain_call const& incoming, call_done callback ) -> void;

    /// Runs a call on this instance, e.g. one forwarded by a peer; never
    /// forwards it.
    auto call_locally( plain_call const& incoming, call_done callback ) -> void;

    /// Returns entry addresses for a workspace: its limit owners first, and
    /// those of `data_centre` first within each group.
    auto entry( core::workspace_id const& workspace,
                core::data_centre_id const& data_centre ) -> entry_answer;

    /// Refuses all new requests with status `not_run`.
    auto close() -> void;

    /// Removes the limit state of idle workspaces and the ledger entries of
    /// expired tickets.
    auto remove_expired() -> void;

    [[nodiscard]] auto limits() const -> admission::workspace_limits const&
    {
        return limits_;
    }

private:
    auto find_profile( core::profile_id const& id ) const
        -> std::optional<profiles::profile>;
    /// Counts the request against the limits of its profile and workspace.
    /// Returns zero if it is admitted, otherwise the retry-after time.
    auto apply_limits( core::workspace_id const& workspace,
                       profiles::profile const& profile,
                       core::token_count prompt ) -> core::duration;
    auto run_at_most_once( plain_call const& incoming,
                           profiles::profile const& profile,
                           state::call_ticket const& ticket,
                           call_done callback ) -> void;
    auto forward( plain_call const& incoming,
                  state::call_ticket const& ticket,
                  call_done const& callback ) -> void;
    auto start_call( profiles::profile const& profile,
                     ports::service_call const& call,
                     call_done callback ) -> void;
    auto ticket_prefix() const -> std::string;

    context& context_;
    state::configuration_holder& configuration_;
    membership::member_table& members_;
    state::call_ledger& ledger_;
    ports::service_client& services_;
    ports::peer_client& peers_;
    core::duration entry_cache_time_;
    admission::workspace_limits limits_;
    std::atomic<bool> closed_{ false };
    std::atomic<std::uint64_t> next_key_{ 1 };
};

}

#endif
