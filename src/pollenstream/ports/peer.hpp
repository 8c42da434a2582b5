#ifndef POLLENSTREAM_PORTS_PEER_HPP
#define POLLENSTREAM_PORTS_PEER_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/membership/member.hpp>
#include <pollenstream/ports/service_client.hpp>
#include <pollenstream/profiles/document.hpp>
#include <pollenstream/state/call_ledger.hpp>

#include <string>
#include <vector>

namespace pollenstream::ports
{

/// State that each of two instances sends the other in one gossip exchange.
struct heartbeat
{
    membership::member sender;
    std::vector<membership::member> changes;
    core::revision revision;
    std::string fingerprint; ///< hash of the active configuration
    bool wants_all{ false }; ///< asks for the full member table
};

/// The configuration of a peer; revision 0 if the peer has no newer one.
struct peer_configuration
{
    core::revision revision;
    std::string head;
    std::vector<profiles::document_text> documents;
};

/// A non-idempotent call that is forwarded to the instance named by its ticket.
struct forwarded_call
{
    core::service_id service;
    core::profile_id profile;
    core::workspace_id workspace;
    std::string ticket;
    service_call call;
};

/// Client for the calls to other instances; they block up to the adapter's
/// timeout.
class peer_client
{
public:
    virtual ~peer_client() = default;

    virtual auto exchange( core::address const& peer, heartbeat const& mine )
        -> core::result<heartbeat> = 0;
    /// Fetches the peer's configuration if it is newer than `newer_than`,
    /// without the documents whose hashes are in `known_hashes`.
    virtual auto
    fetch_configuration( core::address const& peer,
                         core::revision newer_than,
                         std::vector<std::string> const& known_hashes )
        -> core::result<peer_configuration> = 0;
    /// Lets the peer execute `what` within the call's remaining time.
    virtual auto call( core::address const& peer, forwarded_call const& what )
        -> core::result<state::call_outcome> = 0;
};

/// Handles the calls of peers. Must be thread-safe.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    virtual auto on_exchange( heartbeat const& theirs ) -> heartbeat = 0;
    virtual auto
    on_fetch_configuration( core::revision newer_than,
                            std::vector<std::string> const& known_hashes )
        -> peer_configuration = 0;
    /// May block until the call's remaining time has passed.
    virtual auto on_call( forwarded_call const& what )
        -> state::call_outcome = 0;
};

}

#endif
