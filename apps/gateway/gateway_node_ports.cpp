#include "gateway_node.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

// The parts of `gateway_node` that concern its ports.

namespace pollenstream::gateway
{

namespace
{

/// The text of an error; nullopt without one.
auto reason_of( adapters::asio::error_code const& ec )
    -> std::optional<std::string>
{
    return ec ? std::optional( ec.message() ) : std::nullopt;
}

}

auto gateway_node::broken_inputs() const -> std::uint64_t
{
    auto total = datagrams_.dropped();
    for ( auto const* listener : { callers_.get(), directory_.get(),
                                   readiness_.get(), peer_listener_.get() } )
        total += listener != nullptr ? listener->broken() : 0;
    return total;
}

auto gateway_node::add_listener( listener_ptr& listener,
                                 listening_port port,
                                 adapters::asio::request_handler& handler )
    -> void
{
    listener = std::make_unique<adapters::asio::caller_listener>(
        io_, handler, connection_accounts_, unsent_answers_ );
    port.open = [&opened = *listener, at = port.address]
    {
        return reason_of( opened.open( at ) );
    };
    listening_ports_.add( std::move( port ) );
}

auto gateway_node::add_ports() -> void
{
    add_listener( callers_, { "callers", settings_.callers, true, {} },
                  caller_handler_ );
    add_listener( directory_, { "directory", settings_.directory, false, {} },
                  directory_handler_ );
    add_listener( readiness_, { "readiness", settings_.readiness, false, {} },
                  readiness_handler_ );
    add_listener( peer_listener_, { "instances", settings_.peers, false, {} },
                  handover_handler_ );
    // Without datagrams this instance would take itself for the only one.
    listening_ports_.add( { "datagrams", settings_.peers, true,
                            [this]
                            {
                                return reason_of( datagrams_.open() );
                            } } );
}

auto gateway_node::serve_metrics( std::uint16_t port ) -> void
{
    add_listener(
        metrics_,
        { "metrics", core::address{ settings_.callers.ip, port }, false, {} },
        metrics_handler_ );
}

}
