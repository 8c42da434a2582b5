#ifndef POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP
#define POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP

#include "../../platform/store_client.hpp"
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/placement_coordinator.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/peers/placement_router.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <string>

namespace pollenstream::gateway
{

/// The parts of an instance that its state is told of.
struct node_parts
{
    exchange::exchange_context const& context;
    peers::peer_group const& group;
    registry::registry_watch const& registry;
    exchange::placement_coordinator const& coordinator;
    peers::placement_router const& router;
    platform::store_client const& store;
};

/// What an instance knows and does at the moment, as JSON for people.
auto describe_node( node_parts const& node ) -> std::string;

/// Counts that are no events, as text for monitoring systems.
auto node_metrics( node_parts const& node ) -> std::string;

}

#endif
