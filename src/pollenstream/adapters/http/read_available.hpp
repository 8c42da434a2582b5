#ifndef POLLENSTREAM_ADAPTERS_HTTP_READ_AVAILABLE_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_READ_AVAILABLE_HPP

#include <cpprest/streams.h>
#include <pplx/pplxtasks.h>

#include <cstddef>
#include <cstdint>

namespace pollenstream::adapters::http
{

/// Waits for at least one byte, then reads the available bytes, at most `size`.
/// Yields 0 at the end of the stream. The library's own `getn` waits until its
/// buffer is full, which would delay tokens.
auto read_available( concurrency::streams::streambuf<std::uint8_t> from,
                     std::uint8_t* into,
                     std::size_t size ) -> pplx::task<std::size_t>;

}

#endif
