#ifndef POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP
#define POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP

#include "../../platform/store_client.hpp"
#include <pollenstream/adapters/asio/broken_answers.hpp>
#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>
#include <pollenstream/observation/delay_gauge.hpp>
#include <pollenstream/observation/first_service.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/placement_router.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <string>
#include <vector>

namespace pollenstream::gateway
{

/// Whether callers may be directed to an instance.
struct ready_state
{
    bool is_ready{ false };
    core::instant since; ///< start of this state
};

/// The components of an instance whose state is reported.
struct node_parts
{
    exchange::exchange_context const& context;
    peers::peer_group const& group;
    registry::registry_watch const& registry;
    exchange::placement_coordinator const& coordinator;
    peers::placement_router const& router;
    platform::store_client const& store;
    adapters::asio::broken_answers const& broken_answers;
    observation::first_service const& first_service;
    ready_state ready;
    /// Connections and datagrams that could not be processed.
    std::uint64_t broken_inputs{ 0 };
    /// Of all ports.
    adapters::asio::connection_accounts const& connections;
    std::size_t caller_connections{ 0 };
    std::size_t handovers_open{ 0 };        ///< at other instances
    std::size_t taken_over_open{ 0 };       ///< of other instances, here
    std::size_t unsent_bytes{ 0 };          ///< of answers, in connections
    std::uint64_t dropped_callers{ 0 };     ///< closed as they did not read
    std::vector<std::string> ports_waiting; ///< names of those not open
    std::uint64_t failures{ 0 }; ///< exceptions outside of any request
    /// From the first word of a newer state to the configuration in force.
    observation::delay_gauge configuration_delay;
};

/// The rate at which all instances send to the target, as known here. It is
/// complete only on the instance that places the prompts for the target.
auto sent_per_second( exchange::target_entry const& t, core::instant now )
    -> double;

/// The present state of an instance as indented JSON for operators.
auto describe_node( node_parts const& node ) -> std::string;

}

#endif
