#ifndef POLLENSTREAM_ADAPTERS_ASIO_SOCKET_OPTIONS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_SOCKET_OPTIONS_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>

namespace pollenstream::adapters::asio
{

/// Sends small writes at once, and ends a connection whose peer has not
/// acknowledged data or probes for `silence`, so that connections that have
/// gone silent are found. Errors leave the system's defaults and are harmless.
auto set_up_connection( tcp::socket& socket, core::duration silence ) -> void;

/// The endpoint of `a`; port 0 at the unspecified address where `a.ip` is not
/// an IP number.
auto endpoint_of( core::address const& a ) -> tcp::endpoint;

}

#endif
