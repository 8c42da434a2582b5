#include "resource_limits.hpp"

#include <pollenstream/adapters/asio/descriptor_limit.hpp>

#include <algorithm>
#include <cstdint>

namespace pollenstream::gateway
{

namespace
{

constexpr auto received_sixteenths = 6;
constexpr auto answer_sixteenths = 4;
constexpr auto reply_sixteenths = 2;
constexpr auto report_sixteenths = 2;
constexpr auto record_sixteenths = 1;
/// If the settings state no limit on the memory.
constexpr auto default_memory_mb = std::int64_t{ 256 };

/// Bytes of so many sixteenths of the process's memory.
auto part_of_memory( platform::gateway_settings const& s, int sixteenths )
    -> std::size_t
{
    constexpr auto megabyte = std::int64_t{ 1024 } * 1024;
    constexpr auto all_sixteenths = 16;
    auto const megabytes = s.memory_mb > 0 ? s.memory_mb : default_memory_mb;
    return static_cast<std::size_t>( megabytes * megabyte / all_sixteenths *
                                     sixteenths );
}

/// Descriptors that the process may use for sockets: as the settings and the
/// system allow.
auto sockets( platform::gateway_settings const& s ) -> std::size_t
{
    auto const allowed = adapters::asio::descriptor_limit();
    if ( s.sockets <= 0 )
        return allowed;
    return std::min( allowed, static_cast<std::size_t>( s.sockets ) );
}

}

auto resource_limits_of( platform::gateway_settings const& settings )
    -> resource_limits
{
    return { part_of_memory( settings, received_sixteenths ),
             part_of_memory( settings, answer_sixteenths ),
             part_of_memory( settings, reply_sixteenths ),
             part_of_memory( settings, report_sixteenths ),
             part_of_memory( settings, record_sixteenths ),
             adapters::asio::connections_of( sockets( settings ) ) };
}

}
