#ifndef POLLENSTREAM_ADAPTERS_THRIFT_FRAME_LIMITS_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_FRAME_LIMITS_HPP

namespace pollenstream::adapters::thrift
{

/// Largest frame between instances, in bytes: a whole configuration, or the
/// body of a forwarded call.
inline constexpr auto largest_frame = 16 * 1024 * 1024;

}

#endif
