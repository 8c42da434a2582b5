// Linked into a gateway for tests in place of the system's `connect`: its
// connections to targets start from the gateway's own address, so that the
// links of the stand-ins can tell gateways apart, and fail as the file of the
// link's state says. The linker's option `--wrap` names the two functions
// below.
//
// Environment:
//   POLLENSTREAM_LINK_SOURCE  IP address that connections to targets come from
//   POLLENSTREAM_LINK_STATE   file: `sound`, `refuse` or `hang`
//   POLLENSTREAM_LINK_PORTS   ports of all targets, `,` before and behind each
//   POLLENSTREAM_LINK_SINK    port of 127.0.0.1 where connections hang

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

// The names that the linker gives them.
auto real_connect( int fd, sockaddr const* address, socklen_t size )
    -> int asm( "__real_connect" );
auto wrapped_connect( int fd, sockaddr const* address, socklen_t size )
    -> int asm( "__wrap_connect" );

namespace
{

auto setting( char const* name ) -> std::string
{
    auto const* const value = std::getenv( name );
    return value != nullptr ? value : "";
}

/// The IPv4 address of a socket address, if it is one of a target.
auto target_address( sockaddr const* address, socklen_t size, sockaddr_in& out )
    -> bool
{
    if ( size < sizeof( out ) || address->sa_family != AF_INET )
        return false;
    std::memcpy( &out, address, sizeof( out ) );
    auto const port = std::to_string( ntohs( out.sin_port ) );
    static auto const ports = setting( "POLLENSTREAM_LINK_PORTS" );
    return ports.find( "," + port + "," ) != std::string::npos;
}

auto link_state() -> std::string
{
    auto state = std::string{};
    std::ifstream( setting( "POLLENSTREAM_LINK_STATE" ) ) >> state;
    return state;
}

/// The port is chosen with the connection, and stays free for listeners.
auto bind_to_source( int fd ) -> bool
{
    auto const on = 1;
    setsockopt( fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof( on ) );
    setsockopt( fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof( on ) );
    auto own = sockaddr_in{};
    own.sin_family = AF_INET;
    inet_pton( AF_INET, setting( "POLLENSTREAM_LINK_SOURCE" ).c_str(),
               &own.sin_addr );
    auto any = sockaddr{};
    std::memcpy( &any, &own, sizeof( any ) );
    return bind( fd, &any, sizeof( any ) ) == 0;
}

auto sink_address() -> sockaddr
{
    auto sink = sockaddr_in{};
    sink.sin_family = AF_INET;
    sink.sin_port = htons( static_cast<std::uint16_t>(
        std::stoi( setting( "POLLENSTREAM_LINK_SINK" ) ) ) );
    sink.sin_addr.s_addr = htonl( INADDR_LOOPBACK );
    auto any = sockaddr{};
    std::memcpy( &any, &sink, sizeof( any ) );
    return any;
}

}

auto wrapped_connect( int fd, sockaddr const* address, socklen_t size ) -> int
{
    auto target = sockaddr_in{};
    if ( !target_address( address, size, target ) )
        return real_connect( fd, address, size );
    auto const state = link_state();
    if ( state == "refuse" )
    {
        errno = ECONNREFUSED;
        return -1;
    }
    if ( state == "hang" )
    {
        auto const sink = sink_address();
        return real_connect( fd, &sink, sizeof( sink ) );
    }
    if ( !bind_to_source( fd ) )
        return -1;
    return real_connect( fd, address, size );
}
