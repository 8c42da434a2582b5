#ifndef POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_SERVER_HPP
#define POLLENSTREAM_ADAPTERS_THRIFT_PEER_THRIFT_SERVER_HPP

#include <pollenstream/adapters/http/listening_loop.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/ports/peer.hpp>

#include <memory>

namespace pollenstream::adapters::thrift
{

/// Serves calls from other instances over framed Thrift. A frame above the size
/// limit, or for which the loop's limits leave no memory, closes its
/// connection. A call whose connection ends before its whole frame has come is
/// not run.
class peer_thrift_server
{
public:
    /// `loop`: shared with other listeners; null for one of its own. Throws if
    /// the address is in use or is not there.
    peer_thrift_server( core::address const& listen,
                        ports::peer_handler& handler,
                        std::shared_ptr<http::listening_loop> loop = {} );
    ~peer_thrift_server();
    peer_thrift_server( peer_thrift_server const& ) = delete;
    auto operator=( peer_thrift_server const& ) -> peer_thrift_server& = delete;

    /// Returns the bound port; the settings may let the kernel choose it.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}

#endif
