#ifndef POLLENSTREAM_ADAPTERS_ASIO_DESCRIPTOR_LIMIT_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_DESCRIPTOR_LIMIT_HPP

#include <cstddef>

namespace pollenstream::adapters::asio
{

/// The number of descriptors that the system allows this process.
auto descriptor_limit() -> std::size_t;

/// How many of `descriptors` connections from outside may take. The others are
/// for the connections that the process opens itself.
auto connections_of( std::size_t descriptors ) -> std::size_t;

}

#endif
