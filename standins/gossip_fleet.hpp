#ifndef STANDINS_GOSSIP_FLEET_HPP
#define STANDINS_GOSSIP_FLEET_HPP

#include "held_time.hpp"
#include <pollenstream/adapters/http/configuration_text_codec.hpp>
#include <pollenstream/membership/heartbeater.hpp>
#include <pollenstream/membership/member_table.hpp>
#include <pollenstream/ports/peer.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace standins
{

namespace core = pollenstream::core;
namespace membership = pollenstream::membership;
namespace ports = pollenstream::ports;
namespace state = pollenstream::state;

/// Instances that exchange heartbeats in process, a round a second.
class gossip_fleet : public ports::peer_client
{
public:
    explicit gossip_fleet( int size );

    struct instance
    {
        instance( gossip_fleet& fleet, int number );

        membership::member_table members;
        state::configuration_holder holder;
        membership::heartbeater beats;
        bool dead{ false };
    };

    auto at( int number ) -> instance&;
    /// Starts another instance, which knows instance 0 from the list.
    auto add() -> int;
    auto kill( int number ) -> void;
    auto lose_connections( double part ) -> void;
    auto run_rounds( int count ) -> void;
    /// Rounds until `holds`; 100 where it never does.
    auto rounds_until( std::function<bool()> const& holds ) -> int;

    /// Fewest instances that any living one knows as alive.
    auto least_known() -> std::size_t;
    auto all_see( int number, membership::member_phase phase ) -> bool;
    auto all_at_revision( std::int64_t revision ) -> bool;
    auto adopt_at( int number, std::int64_t revision ) -> void;

    auto exchange( core::address const& peer, ports::heartbeat const& mine )
        -> core::result<ports::heartbeat> override;
    auto fetch_configuration( core::address const& peer,
                              core::revision newer_than,
                              std::vector<std::string> const& known_hashes )
        -> core::result<ports::peer_configuration> override;
    auto call( core::address const& peer, ports::forwarded_call const& what )
        -> core::result<state::call_outcome> override;

    held_time time;
    std::int64_t exchanges{ 0 };
    std::int64_t members_sent{ 0 };

private:
    auto is_lost() -> bool;
    auto behind( core::address const& peer ) -> instance*;

    pollenstream::adapters::http::configuration_text_codec codec_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::mt19937_64 random_{ 7 };
    double lost_part_{ 0 };
};

}

#endif
