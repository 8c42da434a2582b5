#include <pollenstream/adapters/thrift/frame_limits.hpp>
#include <pollenstream/adapters/thrift/limited_protocol.hpp>
#include <pollenstream/adapters/thrift/peer_codec.hpp>
#include <pollenstream/adapters/thrift/peer_thrift_client.hpp>

#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <functional>
#include <gen-cpp/peer.h>

namespace pollenstream::adapters::thrift
{

namespace
{

using namespace std::chrono_literals;
using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

constexpr auto connect_timeout = core::duration( 500ms );
constexpr auto exchange_timeout = core::duration( 1s );
constexpr auto fetch_timeout = core::duration( 5s );

auto code_of( TTransportException const& failure, bool connected )
    -> core::error_code
{
    if ( !connected )
        return core::error_code::unreachable;
    if ( failure.getType() == TTransportException::TIMED_OUT )
        return core::error_code::timed_out;
    return core::error_code::connection_lost;
}

/// Opens a connection and runs `use` with a client on it. Exceptions of the
/// library become errors.
template <class Result, class Use>
auto with_connection( core::address const& peer,
                      core::duration timeout,
                      Use const& use ) -> core::result<Result>
{
    auto connected = false;
    try
    {
        auto const limits = std::make_shared<TConfiguration>( max_frame_size );
        auto const socket =
            std::make_shared<TSocket>( peer.ip, peer.port, limits );
        auto const milliseconds =
            static_cast<int>( core::milliseconds_of( timeout ) );
        socket->setConnTimeout(
            static_cast<int>( core::milliseconds_of( connect_timeout ) ) );
        socket->setRecvTimeout( milliseconds );
        socket->setSendTimeout( milliseconds );
        auto const framed =
            std::make_shared<TFramedTransport>( socket, limits );
        auto client = wire::peerClient( limited_protocol( framed ) );
        framed->open();
        connected = true;
        return use( client );
    }
    catch ( TTransportException const& failure )
    {
        return core::error{ code_of( failure, connected ), failure.what() };
    }
    catch ( TException const& failure )
    {
        return core::error{ core::error_code::connection_lost, failure.what() };
    }
}

}

auto peer_thrift_client::exchange( core::address const& peer,
                                   ports::heartbeat const& mine )
    -> core::result<ports::heartbeat>
{
    return with_connection<ports::heartbeat>(
        peer, exchange_timeout,
        [&]( wire::peerClient& client )
        {
            auto theirs = wire::heartbeat{};
            client.exchange( theirs, to_wire( mine ) );
            return from_wire( theirs );
        } );
}

auto peer_thrift_client::fetch_configuration(
    core::address const& peer,
    core::revision newer_than,
    std::vector<std::string> const& known_hashes )
    -> core::result<ports::peer_configuration>
{
    return with_connection<ports::peer_configuration>(
        peer, fetch_timeout,
        [&]( wire::peerClient& client )
        {
            auto theirs = wire::configuration{};
            client.fetch_configuration( theirs, newer_than.count(),
                                        known_hashes );
            return from_wire( theirs );
        } );
}

auto peer_thrift_client::call( core::address const& peer,
                               ports::forwarded_call const& what )
    -> core::result<state::call_outcome>
{
    return with_connection<state::call_outcome>(
        peer, what.call.time_left,
        [&]( wire::peerClient& client )
        {
            auto reply = wire::forwarded_reply{};
            client.call( reply, to_wire( what ) );
            return from_wire( reply );
        } );
}

}
