#ifndef POLLENSTREAM_ADAPTERS_HTTP_READ_AVAILABLE_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_READ_AVAILABLE_HPP

#include <cpprest/streams.h>
#include <pplx/pplxtasks.h>

#include <cstddef>
#include <cstdint>

namespace pollenstream::adapters::http
{

/// Waits for at least one byte and reads what is there, `size` at most; 0 at
/// the end of the stream. The library's own `getn` waits until it has filled
/// the whole of its room, which would hold tokens back.
auto read_available( concurrency::streams::streambuf<std::uint8_t> from,
                     std::uint8_t* into,
                     std::size_t size ) -> pplx::task<std::size_t>;

}

#endif
