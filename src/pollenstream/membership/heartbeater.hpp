#ifndef POLLENSTREAM_MEMBERSHIP_HEARTBEATER_HPP
#define POLLENSTREAM_MEMBERSHIP_HEARTBEATER_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/ports/clock.hpp>
#include <pollenstream/ports/configuration_codec.hpp>
#include <pollenstream/ports/peer.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <atomic>

namespace pollenstream::membership
{

/// Exchanges heartbeats with a few peers each round, and fetches the
/// configuration of a peer that has a newer one. An accepted change thus also
/// reaches instances whose watch on the store has died, and instances that
/// start during an outage of the store.
class heartbeater
{
public:
    heartbeater( member_table& members,
                 state::configuration_holder& holder,
                 ports::configuration_codec const& codec,
                 ports::peer_client& peers,
                 ports::clock const& clock );

    /// Runs one round; blocks until its calls have finished.
    auto run_round() -> void;

    /// Sends a heartbeat to every alive peer, one after the other. Used for a
    /// planned stop, which must not wait for gossip to spread.
    auto announce() -> void;

    /// Handles a peer's heartbeat and returns the reply.
    auto answer( ports::heartbeat const& received ) -> ports::heartbeat;
    /// Returns the configuration in force, without the documents whose hashes
    /// the peer knows; revision 0 if it is not newer than `newer_than`.
    auto answer_fetch( core::revision newer_than,
                       std::vector<std::string> const& known_hashes )
        -> ports::peer_configuration;

    core::counter exchanges;
    core::counter silences; ///< exchanges that failed, their retry included
    core::counter configurations_from_peers;

private:
    auto compose( bool include_all ) -> ports::heartbeat;
    auto merge_heartbeat( ports::heartbeat const& received ) -> void;
    auto fetch_newer_configuration( member const& peer ) -> void;
    auto exchange_with( member const& peer, bool wants_all ) -> void;

    member_table& members_;
    state::configuration_holder& holder_;
    ports::configuration_codec const& codec_;
    ports::peer_client& peers_;
    ports::clock const& clock_;
    /// True until the first exchange succeeds: a new instance requests the
    /// full table.
    std::atomic<bool> needs_full_exchange_{ true };
    std::int64_t rounds_{ 0 };
};

}

#endif
