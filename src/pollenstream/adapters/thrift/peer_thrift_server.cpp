#include <pollenstream/adapters/thrift/frame_limits.hpp>
#include <pollenstream/adapters/thrift/peer_codec.hpp>
#include <pollenstream/adapters/thrift/peer_thrift_server.hpp>

#include <glog/logging.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TNonblockingServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <chrono>
#include <exception>
#include <future>
#include <gen-cpp/peer.h>
#include <string>
#include <thread>
#include <utility>

namespace pollenstream::adapters::thrift
{

namespace
{

using apache::thrift::TApplicationException;
using apache::thrift::concurrency::ThreadFactory;
using apache::thrift::concurrency::ThreadManager;
using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::server::TNonblockingServer;
using apache::thrift::transport::TNonblockingServerSocket;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

/// Each forwarded call blocks one worker; exchanges need only a few.
constexpr auto worker_threads = std::size_t{ 8 };
/// Between two tries to accept, so that a failure that lasts uses no core. The
/// calls under way wait as long.
constexpr auto accept_retry_delay = std::chrono::milliseconds( 50 );

auto discard_output( char const* ) -> void {}

/// Signals the constructor that the address is bound, or passes on the
/// exception.
class bound_signal : public apache::thrift::server::TServerEventHandler
{
public:
    auto preServe() -> void override
    {
        bound_.set_value();
    }
    auto fail( std::exception_ptr const& failure ) -> void
    {
        try
        {
            bound_.set_exception( failure );
        }
        catch ( std::future_error const& )
        {
            LOG( ERROR ) << "the peer server ended with an exception";
        }
    }
    auto wait() -> void
    {
        bound_.get_future().get();
    }

private:
    std::promise<void> bound_;
};

/// Goes on after a connection could not be accepted, for instance for want of
/// descriptors. The library's server ends when accepting throws.
class lasting_server_socket : public TNonblockingServerSocket
{
public:
    using TNonblockingServerSocket::TNonblockingServerSocket;

protected:
    auto acceptImpl() -> std::shared_ptr<TSocket> override
    {
        try
        {
            auto accepted = TNonblockingServerSocket::acceptImpl();
            note_problem( "" );
            return accepted;
        }
        catch ( TTransportException const& e )
        {
            note_problem( e.what() );
            std::this_thread::sleep_for( accept_retry_delay );
            // The server drops a socket that is not open.
            return std::make_shared<TSocket>();
        }
    }

private:
    /// Logs a problem that is new; empty: there is none.
    auto note_problem( std::string const& problem ) -> void
    {
        if ( problem == std::exchange( problem_, problem ) )
            return;
        if ( problem.empty() )
            LOG( INFO ) << "the peer server accepts connections again";
        else
            LOG( WARNING ) << "the peer server cannot accept: " << problem;
    }

    std::string problem_;
};

/// Forwards Thrift calls to the `peer_handler` port.
class wire_handler : public wire::peerIf
{
public:
    explicit wire_handler( ports::peer_handler& handler ) : handler_( handler )
    {
    }

    auto exchange( wire::heartbeat& reply, wire::heartbeat const& mine )
        -> void override
    {
        auto const theirs = from_wire( mine );
        if ( !theirs )
            throw TApplicationException( theirs.error().detail );
        reply = to_wire( handler_.on_exchange( theirs.value() ) );
    }

    auto fetch_configuration( wire::configuration& reply,
                              std::int64_t const newer_than,
                              std::vector<std::string> const& known_hashes )
        -> void override
    {
        reply = to_wire( handler_.on_fetch_configuration(
            core::revision( newer_than ), known_hashes ) );
    }

    auto call( wire::forwarded_reply& reply, wire::forwarded_call const& what )
        -> void override
    {
        reply = to_wire( handler_.on_call( from_wire( what ) ) );
    }

private:
    ports::peer_handler& handler_;
};

}

class peer_thrift_server::implementation
{
public:
    implementation( core::address const& listen, ports::peer_handler& handler )
        : workers_( ThreadManager::newSimpleThreadManager( worker_threads ) ),
          socket_( std::make_shared<lasting_server_socket>( listen.ip,
                                                            listen.port ) )
    {
        // The library logs each connection that ends early. This output is
        // discarded; the daemon counts unreachable peers instead.
        apache::thrift::GlobalOutput.setOutputFunction( discard_output );
        workers_->threadFactory( std::make_shared<ThreadFactory>() );
        workers_->start();
        auto const processor = std::make_shared<wire::peerProcessor>(
            std::make_shared<wire_handler>( handler ) );
        server_ = std::make_unique<TNonblockingServer>(
            processor, std::make_shared<TBinaryProtocolFactory>(), socket_,
            workers_ );
        server_->setMaxFrameSize( max_frame_size );
        auto const bound = std::make_shared<bound_signal>();
        server_->setServerEventHandler( bound );
        thread_ = std::thread(
            [this, bound]
            {
                serve( *bound );
            } );
        try
        {
            bound->wait();
        }
        catch ( ... )
        {
            thread_.join();
            throw;
        }
    }

    ~implementation()
    {
        server_->stop();
        thread_.join();
        workers_->stop();
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return static_cast<std::uint16_t>( socket_->getListenPort() );
    }

private:
    auto serve( bound_signal& bound ) -> void
    {
        try
        {
            server_->serve();
        }
        catch ( ... )
        {
            bound.fail( std::current_exception() );
        }
    }

    std::shared_ptr<ThreadManager> workers_;
    std::shared_ptr<TNonblockingServerSocket> socket_;
    std::unique_ptr<TNonblockingServer> server_;
    std::thread thread_;
};

peer_thrift_server::peer_thrift_server( core::address const& listen,
                                        ports::peer_handler& handler )
    : implementation_( std::make_unique<implementation>( listen, handler ) )
{
}

peer_thrift_server::~peer_thrift_server() = default;

auto peer_thrift_server::port() const -> std::uint16_t
{
    return implementation_->port();
}

}
