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

/// A caller's call to a plain service, read and checked.
struct plain_call
{
    core::service_id service;
    core::profile_id profile;
    core::workspace_id workspace;
    std::optional<std::string> ticket;
    ports::service_call call;
};

/// Which addresses a caller should use.
struct entry_answer
{
    std::vector<core::address> addresses; ///< best first
    core::duration keep{ 0 };             ///< how long to keep them
    /// Start of tickets for non-idempotent calls; the caller adds its key.
    std::string ticket_prefix;
};

/// The caller's side of an instance: finds the profile, applies the limits of
/// the workspace and starts a session.
class gateway
{
public:
    using call_done = std::function<void( state::call_outcome const& )>;

    gateway( context& shared,
             state::configuration_holder& holder,
             membership::member_table& members,
             state::call_ledger& ledger,
             ports::service_client& services,
             ports::peer_client& peers,
             core::duration entry_keep );

    auto answer( core::profile_id const& profile,
                 request wanted,
                 std::shared_ptr<ports::answer_sink> sink ) -> void;

    /// Runs a call here, or has the instance run it that its ticket names. May
    /// block while a call is forwarded.
    auto call( plain_call const& wanted, call_done callback ) -> void;

    /// Runs a call that a peer forwarded; never forwards it again.
    auto call_here( plain_call const& wanted, call_done callback ) -> void;

    auto entry( core::workspace_id const& workspace,
                core::data_centre_id const& data_centre ) -> entry_answer;

    /// Refuses all new requests, as "not run".
    auto close() -> void;

    /// Forgets what is held for workspaces and tickets whose time is over.
    auto tidy() -> void;

    [[nodiscard]] auto limits() const -> admission::workspace_limits const&
    {
        return limits_;
    }

private:
    auto find_profile( core::profile_id const& id ) const
        -> std::optional<profiles::profile>;
    auto check_limits( core::workspace_id const& workspace,
                       profiles::profile const& profile,
                       core::token_count prompt ) -> core::duration;
    auto run_once( plain_call const& wanted,
                   profiles::profile const& profile,
                   state::call_ticket const& ticket,
                   call_done callback ) -> void;
    auto forward( plain_call const& wanted,
                  state::call_ticket const& ticket,
                  call_done const& callback ) -> void;
    auto start_call( profiles::profile const& profile,
                     ports::service_call const& call,
                     call_done callback ) -> void;
    auto ticket_prefix() const -> std::string;

    context& shared_;
    state::configuration_holder& holder_;
    membership::member_table& members_;
    state::call_ledger& ledger_;
    ports::service_client& services_;
    ports::peer_client& peers_;
    core::duration entry_keep_;
    admission::workspace_limits limits_;
    std::atomic<bool> closed_{ false };
    std::atomic<std::uint64_t> next_key_{ 1 };
};

}

#endif
