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

/// Exchanges heartbeats with a few peers each round, and takes a newer
/// configuration from a peer that has one. With this an accepted change
/// reaches instances whose watch at the store has died, and new ones in an
/// outage of the store.
class heartbeater
{
public:
    heartbeater( member_table& members,
                 state::configuration_holder& holder,
                 ports::configuration_codec const& codec,
                 ports::peer_client& peers,
                 ports::clock const& clock );

    /// One round; blocks for as long as the calls take.
    auto run_round() -> void;

    /// Tells every peer at once what this instance is now: a planned stop must
    /// not wait for news to get around.
    auto announce() -> void;

    /// Answers a peer's heartbeat.
    auto answer( ports::heartbeat const& theirs ) -> ports::heartbeat;
    /// Answers a peer that asks for a newer configuration.
    auto answer_fetch( core::revision newer_than,
                       std::vector<std::string> const& known_hashes )
        -> ports::peer_configuration;

    core::counter exchanges;
    core::counter silences;
    core::counter configurations_from_peers;

private:
    auto compose( bool everything ) -> ports::heartbeat;
    auto take_in( ports::heartbeat const& theirs ) -> void;
    auto catch_up( member const& peer ) -> void;
    auto exchange_with( member const& peer, bool everything ) -> void;

    member_table& members_;
    state::configuration_holder& holder_;
    ports::configuration_codec const& codec_;
    ports::peer_client& peers_;
    ports::clock const& clock_;
    std::atomic<bool> is_new_{ true };
    std::int64_t rounds_{ 0 };
};

}

#endif
