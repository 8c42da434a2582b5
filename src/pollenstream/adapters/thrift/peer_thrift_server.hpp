#ifndef POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_SERVER_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_SERVER_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/ports/peer.hpp>

#include <memory>

namespace pollenstream::adapters::thrift
{

/// Answers other instances over Thrift, framed. Frames above the limit close
/// their connection.
class peer_thrift_server
{
public:
    peer_thrift_server( core::address const& listen,
                        ports::peer_handler& handler );
    ~peer_thrift_server();
    peer_thrift_server( peer_thrift_server const& ) = delete;
    auto operator=( peer_thrift_server const& ) -> peer_thrift_server& = delete;

    /// The port that was bound; the settings may leave it to the kernel.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}

#endif
