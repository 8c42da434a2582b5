#ifndef POLLENSTREAM_APPS_GATEWAY_NODE_METRICS_HPP
#define POLLENSTREAM_APPS_GATEWAY_NODE_METRICS_HPP

#include "node_state.hpp"

#include <string>

namespace pollenstream::gateway
{

/// Gauges and the counters that do not count log events, in the Prometheus
/// text format.
auto node_metrics( node_parts const& node ) -> std::string;

}

#endif
