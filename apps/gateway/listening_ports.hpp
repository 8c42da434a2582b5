#ifndef POLLENSTREAM_APPS_GATEWAY_LISTENING_PORTS_HPP
#define POLLENSTREAM_APPS_GATEWAY_LISTENING_PORTS_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::gateway
{

/// A port at which an instance listens.
struct listening_port
{
    std::string name; ///< for logs
    core::address address;
    /// Without it the instance cannot serve callers.
    bool is_required{ false };
    /// Starts to listen; returns the reason if that fails.
    std::function<std::optional<std::string>()> open;
};

/// The ports of one instance. One that cannot be opened, as another process
/// still has it or its address is not there yet, is tried again until it can:
/// the process waits for the required ones and goes on without the others.
class listening_ports
{
public:
    listening_ports( ports::scheduler& scheduler, exchange::event_log& log );

    auto add( listening_port port ) -> void;
    /// Tries all ports now, and those that fail again and again.
    auto open_all() -> void;

    /// Names of the ports that are not open.
    [[nodiscard]] auto waiting() const -> std::vector<std::string>;

    /// Called once, when all required ports are open.
    std::function<void()> on_required_open;

private:
    struct port_state
    {
        listening_port port;
        bool is_open{ false };
        std::string reason; ///< of the last failure
    };

    auto try_all() -> void;
    auto try_one( port_state& state ) -> void;
    auto record( port_state const& state, std::string now, std::string because )
        -> void;
    [[nodiscard]] auto is_required_missing() const -> bool;

    ports::scheduler& scheduler_;
    exchange::event_log& log_;
    std::vector<port_state> ports_;
    core::instant started_;
    std::optional<ports::repeating_call> retry_;
};

}

#endif
