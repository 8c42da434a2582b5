#ifndef TESTS_SUPPORT_UPLOAD_PEER_HPP
#define TESTS_SUPPORT_UPLOAD_PEER_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/core/address.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace tests
{

namespace asio = pollenstream::adapters::asio;

/// Exceeds what the kernel buffers of an upload to an `upload_peer`.
inline constexpr auto large_upload_bytes = std::size_t{ 24 } * 1024 * 1024;

/// A server on loopback that answers as soon as the head of a request has
/// arrived and reads nothing more, so that a large upload is still being
/// written. Ends its connection as the test says. Shares the event loop of the
/// test.
class upload_peer
{
public:
    /// Sends `answer` on each connection.
    upload_peer( asio::net::io_context& io, std::string answer );
    ~upload_peer();
    upload_peer( upload_peer const& ) = delete;
    auto operator=( upload_peer const& ) -> upload_peer& = delete;

    [[nodiscard]] auto address() const -> pollenstream::core::address;
    /// Number of connections whose answer has been sent.
    [[nodiscard]] auto answers() const -> std::size_t;

    /// Resets the connections.
    auto reset() -> void;
    /// Closes the connections with the upload unread, which resets them.
    auto close() -> void;
    /// Ends the answers in an orderly way; the connections stay open, and the
    /// upload unread.
    auto finish() -> void;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}

#endif
