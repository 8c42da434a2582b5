#ifndef POLLENSTREAM_APPS_GATEWAY_SHORTAGE_CHANGE_HPP
#define POLLENSTREAM_APPS_GATEWAY_SHORTAGE_CHANGE_HPP

#include <pollenstream/adapters/asio/connection_accounts.hpp>
#include <pollenstream/exchange/event_log.hpp>

namespace pollenstream::gateway
{

/// The log's line for a shortage of memory or descriptors.
auto shortage_change( adapters::asio::shortage_report const& report )
    -> exchange::state_change;

}

#endif
