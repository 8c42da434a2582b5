#ifndef POLLENSTREAM_ADAPTERS_ASIO_DATAGRAM_SOCKET_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_DATAGRAM_SOCKET_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/counter.hpp>
#include <pollenstream/peers/peer_group.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace pollenstream::adapters::asio
{

/// UDP socket for messages between instances, which all use the same port.
class datagram_socket : public peers::datagram_sender
{
public:
    /// Called with each datagram and the IP address that it came from.
    using receiver =
        std::function<void( std::string_view bytes, std::string const& from )>;

    datagram_socket( net::io_context& io, core::address at );

    /// Fails if the address is in use or is not there; may be tried again then.
    /// Datagrams that are sent before are lost.
    [[nodiscard]] auto open() -> error_code;
    /// Starts to receive; calls `handler` with each datagram.
    auto start( receiver handler ) -> void;
    auto send( std::string const& ip, std::string const& bytes )
        -> void override;

    /// Datagrams that could not be sent.
    [[nodiscard]] auto send_errors() const -> std::uint64_t
    {
        return send_errors_.value();
    }

    /// Datagrams that were received but could not be processed.
    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return dropped_.value();
    }

private:
    auto receive() -> void;
    auto deliver( std::string_view bytes ) -> void;

    static constexpr auto max_datagram_bytes = std::size_t{ 64 } * 1024;

    core::address at_;
    udp::socket socket_;
    udp::endpoint from_;
    std::array<char, max_datagram_bytes> buffer_{};
    receiver receiver_;
    core::counter send_errors_;
    core::counter dropped_;
};

}

#endif
