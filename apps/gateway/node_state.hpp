#ifndef POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP
#define POLLENSTREAM_APPS_GATEWAY_NODE_STATE_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/peers/peer_group.hpp>
#include <pollenstream/registry/registry_watch.hpp>

#include <string>

namespace pollenstream::gateway
{

/// What an instance knows and does at the moment, as JSON for people.
auto describe_node( exchange::exchange_context const& context,
                    peers::peer_group const& group,
                    registry::registry_watch const& registry ) -> std::string;

/// Counts that are no events, as text for monitoring systems.
auto node_metrics( exchange::exchange_context const& context,
                   peers::peer_group const& group,
                   registry::registry_watch const& registry ) -> std::string;

}

#endif
