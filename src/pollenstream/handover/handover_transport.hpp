#ifndef POLLENSTREAM_HANDOVER_HANDOVER_TRANSPORT_HPP
#define POLLENSTREAM_HANDOVER_HANDOVER_TRANSPORT_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/handover.hpp>

#include <memory>
#include <string>

namespace pollenstream::handover
{

/// Address of an instance, and the key that its process asks for with requests
/// that are handed over.
struct peer_access
{
    std::string ip;
    core::handover_key key;
};

/// Sends requests to other instances.
class handover_transport
{
public:
    virtual ~handover_transport() = default;
    virtual auto send( peer_access const& to,
                       exchange::outgoing_handover handover,
                       std::shared_ptr<exchange::attempt_listener> listener )
        -> std::shared_ptr<exchange::open_attempt> = 0;
};

}

#endif
