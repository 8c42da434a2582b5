#ifndef POLLENSTREAM_ADAPTERS_ASIO_SOCKET_OPTIONS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_SOCKET_OPTIONS_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>

namespace pollenstream::adapters::asio
{

/// Disables Nagle's algorithm, and ends the connection if the peer acknowledges
/// neither data nor keep-alive probes for `silence`, so that dead connections
/// are detected. Options that cannot be set keep the system's defaults.
auto set_up_connection( tcp::socket& socket, core::duration silence ) -> void;

/// Limits the bytes that wait in the kernel because the peer does not read, so
/// that they wait in this process, where they are counted.
auto limit_unsent_in_kernel( tcp::socket& socket ) -> void;

/// The endpoint of `a`; the unspecified address with port 0 if `a.ip` is not a
/// valid IP address.
auto endpoint_of( core::address const& a ) -> tcp::endpoint;

}

#endif
