#ifndef POLLENSTREAM_ADAPTERS_ASIO_IDLE_CONNECTIONS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_IDLE_CONNECTIONS_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::adapters::asio
{

class client_connection;

/// Connections without a call, for reuse within their pool.
class idle_connections
{
public:
    /// The one of a pool that was used last and is still usable, or null.
    auto take( std::string const& pool ) -> std::shared_ptr<client_connection>;
    /// Closes the oldest one of the pool if there are too many.
    auto keep( std::shared_ptr<client_connection> connection ) -> void;
    auto forget( client_connection const* connection ) -> void;

private:
    std::map<std::string, std::vector<std::shared_ptr<client_connection>>>
        pools_;
};

}

#endif
