#ifndef POLLENSTREAM_ADAPTERS_THRIFT_FRAME_LIMITS_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_FRAME_LIMITS_HPP

#include <cstddef>

namespace pollenstream::adapters::thrift
{

/// Maximum size of a frame between instances, in bytes. The largest frames
/// carry a whole configuration or the body of a forwarded call.
inline constexpr auto max_frame_size = std::size_t{ 16 } * 1024 * 1024;
/// Maximum number of entries of one list in a call: of instances that have
/// changed, or of documents. The library takes memory for all that are
/// announced before it reads the first.
inline constexpr auto max_list_entries = 8'192;

}

#endif
