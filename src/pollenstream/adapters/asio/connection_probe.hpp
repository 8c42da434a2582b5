#ifndef POLLENSTREAM_ADAPTERS_ASIO_CONNECTION_PROBE_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_CONNECTION_PROBE_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/units.hpp>

#include <functional>
#include <optional>

namespace pollenstream::adapters::asio
{

/// Connects to `address` and closes the connection. Reports true if a process
/// listens there, false if it refuses or drops the connection, and nullopt
/// after any other error or after `limit`.
auto probe_connection( net::io_context& io,
                       core::address const& address,
                       core::duration limit,
                       std::function<void( std::optional<bool> )> callback )
    -> void;

}

#endif
