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

/// What two instances tell each other in one exchange.
struct heartbeat
{
    membership::member sender;
    std::vector<membership::member> changes;
    core::revision revision;
    std::string fingerprint; ///< of the configuration in force
    bool wants_all{ false }; ///< the sender has just started
};

/// The configuration of a peer; revision 0 where it has none that is newer.
struct peer_configuration
{
    core::revision revision;
    std::string head;
    std::vector<profiles::document_text> documents;
};

/// A non-idempotent call on its way to the instance that its ticket names.
struct forwarded_call
{
    core::service_id service;
    core::profile_id profile;
    core::workspace_id workspace;
    std::string ticket;
    service_call call;
};

/// Calls to other instances. They block up to the adapter's timeout.
class peer_client
{
public:
    virtual ~peer_client() = default;

    virtual auto exchange( core::address const& peer, heartbeat const& mine )
        -> core::result<heartbeat> = 0;
    /// The peer's configuration if it is newer, without the documents whose
    /// hashes are known here.
    virtual auto
    fetch_configuration( core::address const& peer,
                         core::revision newer_than,
                         std::vector<std::string> const& known_hashes )
        -> core::result<peer_configuration> = 0;
    /// Has the peer run `what` within its time.
    virtual auto call( core::address const& peer, forwarded_call const& what )
        -> core::result<state::call_outcome> = 0;
};

/// What this instance answers to its peers. Called from several threads.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    virtual auto on_exchange( heartbeat const& theirs ) -> heartbeat = 0;
    virtual auto
    on_fetch_configuration( core::revision newer_than,
                            std::vector<std::string> const& known_hashes )
        -> peer_configuration = 0;
    /// May block until the call's time is over.
    virtual auto on_call( forwarded_call const& what )
        -> state::call_outcome = 0;
};

}

#endif
