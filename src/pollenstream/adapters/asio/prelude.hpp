#ifndef POLLENSTREAM_ADAPTERS_ASIO_PRELUDE_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_PRELUDE_HPP

// Boost 1.74 uses std::exchange in its coroutine header without including
// <utility>; in C++20 that header must be included first.
// clang-format off
#include <utility>

#include <boost/asio.hpp>
// clang-format on

namespace pollenstream::adapters::asio
{

namespace net = boost::asio;
using tcp = net::ip::tcp;
using udp = net::ip::udp;
using error_code = boost::system::error_code;

}

#endif
