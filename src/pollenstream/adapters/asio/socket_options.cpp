#include <pollenstream/adapters/asio/socket_options.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenstream::adapters::asio
{

namespace
{

auto set_option( int fd, int level, int name, int value ) -> void
{
    // Errors are ignored: without the option the connection works, but a
    // silent peer is detected later, by request timeouts.
    static_cast<void>(
        ::setsockopt( fd, level, name, &value, sizeof( value ) ) );
}

}

auto set_up_connection( tcp::socket& socket, core::duration silence ) -> void
{
    auto const fd = socket.native_handle();
    auto const ms = static_cast<int>( core::milliseconds_of( silence ) );
    constexpr auto probes = 3;
    constexpr auto probe_seconds = 1;
    set_option( fd, IPPROTO_TCP, TCP_NODELAY, 1 );
    set_option( fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ms );
    set_option( fd, SOL_SOCKET, SO_KEEPALIVE, 1 );
    set_option( fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_seconds );
    set_option( fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds );
    set_option( fd, IPPROTO_TCP, TCP_KEEPCNT, probes );
}

auto limit_unsent_in_kernel( tcp::socket& socket ) -> void
{
    constexpr auto max_unsent_bytes = 16 * 1024;
    set_option( socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                max_unsent_bytes );
}

auto endpoint_of( core::address const& a ) -> tcp::endpoint
{
    auto ec = error_code{};
    auto const ip = net::ip::make_address( a.ip, ec );
    return ec ? tcp::endpoint{} : tcp::endpoint( ip, a.port );
}

}
