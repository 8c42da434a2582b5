#include <pollenstream/adapters/asio/socket_options.hpp>
#include <pollenstream/adapters/system/guarded.hpp>
#include <pollenstream/adapters/thrift/frame_connection.hpp>
#include <pollenstream/adapters/thrift/frame_limits.hpp>
#include <pollenstream/adapters/thrift/limited_protocol.hpp>
#include <pollenstream/adapters/thrift/peer_codec.hpp>
#include <pollenstream/adapters/thrift/peer_thrift_server.hpp>

#include <glog/logging.h>
#include <thrift/TApplicationException.h>
#include <thrift/transport/TBufferTransports.h>

#include <chrono>
#include <gen-cpp/peer.h>
#include <set>
#include <string>
#include <utility>

namespace pollenstream::adapters::thrift
{

namespace
{

namespace net = asio::net;
using apache::thrift::TApplicationException;
using apache::thrift::TConfiguration;
using apache::thrift::transport::TMemoryBuffer;

/// Each forwarded call blocks one worker; exchanges need only a few.
constexpr auto worker_threads = std::size_t{ 8 };
/// Between two tries to accept, so that a failure that lasts uses no core.
constexpr auto accept_retry_delay = std::chrono::milliseconds( 50 );
/// Of a process whose server shares its limits with no other.
constexpr auto default_memory = std::size_t{ 1024 } * 1024 * 1024;

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

auto discard_output( char const* ) -> void {}

}

/// Accepts connections on the loop's thread and processes calls on its own.
class peer_thrift_server::implementation : public frame_server
{
public:
    implementation( core::address const& listen,
                    ports::peer_handler& handler,
                    std::shared_ptr<http::listening_loop> loop )
        : processor_( std::make_shared<wire_handler>( handler ) ),
          loop_( std::move( loop ) ), acceptor_( *loop_->context() ),
          accept_retry_( *loop_->context() ), workers_( worker_threads )
    {
        // The library logs calls that it cannot read.
        apache::thrift::GlobalOutput.setOutputFunction( discard_output );
        loop_->run_and_wait(
            [&]
            {
                open( asio::endpoint_of( listen ) );
                port_ = acceptor_.local_endpoint().port();
                accept();
            } );
    }
    ~implementation() override
    {
        loop_->run_and_wait(
            [this]
            {
                close_all();
            } );
        workers_.join();
        // By now the loop has run what closing has ended.
        loop_->run_and_wait( [] {} );
    }
    implementation( implementation const& ) = delete;
    auto operator=( implementation const& ) -> implementation& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return port_;
    }

    auto work_on( std::shared_ptr<frame_connection> connection,
                  std::shared_ptr<std::string> call ) -> void override
    {
        net::post( workers_,
                   [this, connection = std::move( connection ),
                    call = std::move( call )]
                   {
                       auto answer = std::string{};
                       system::run_guarded( "a call of an instance",
                                            [&]
                                            {
                                                answer = process( *call );
                                            } );
                       connection->answer( std::move( answer ) );
                   } );
    }

    auto forget( std::shared_ptr<frame_connection> const& connection )
        -> void override
    {
        connections_.erase( connection );
    }

private:
    /// Throws `boost::system::system_error`.
    auto open( asio::tcp::endpoint const& at ) -> void
    {
        acceptor_.open( at.protocol() );
        acceptor_.set_option( net::socket_base::reuse_address( true ) );
        acceptor_.bind( at );
        acceptor_.listen( net::socket_base::max_listen_connections );
    }

    auto accept() -> void
    {
        acceptor_.async_accept(
            [this]( asio::error_code ec, asio::tcp::socket socket )
            {
                if ( !acceptor_.is_open() )
                    return;
                note_problem( ec ? ec.message() : "" );
                if ( ec )
                    return accept_later();
                accept();
                begin( std::move( socket ) );
            } );
    }

    auto accept_later() -> void
    {
        accept_retry_.expires_after( accept_retry_delay );
        accept_retry_.async_wait(
            [this]( asio::error_code ec )
            {
                if ( !ec )
                    accept();
            } );
    }

    auto begin( asio::tcp::socket socket ) -> void
    {
        if ( !loop_->accounts()->admit() )
            return;
        auto const connection = std::make_shared<frame_connection>(
            *this, std::move( socket ), loop_->accounts(), loop_->unsent() );
        connections_.insert( connection );
        connection->start();
    }

    auto close_all() -> void
    {
        auto ec = asio::error_code{};
        acceptor_.close( ec );
        accept_retry_.cancel();
        for ( auto const& connection : std::set( connections_ ) )
            connection->close();
    }

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

    /// The answer of a call. Throws if it cannot be read.
    auto process( std::string& call ) -> std::string
    {
        auto const limits = std::make_shared<TConfiguration>(
            static_cast<int>( max_frame_size ) );
        auto const in = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>( call.data() ),
            static_cast<std::uint32_t>( call.size() ), TMemoryBuffer::OBSERVE,
            limits );
        auto const out = std::make_shared<TMemoryBuffer>();
        processor_.process( limited_protocol( in ), limited_protocol( out ),
                            nullptr );
        return out->getBufferAsString();
    }

    wire::peerProcessor processor_;
    std::shared_ptr<http::listening_loop> loop_;
    asio::tcp::acceptor acceptor_;
    net::steady_timer accept_retry_;
    std::set<std::shared_ptr<frame_connection>> connections_;
    std::uint16_t port_{ 0 };
    std::string problem_;
    net::thread_pool workers_;
};

peer_thrift_server::peer_thrift_server(
    core::address const& listen,
    ports::peer_handler& handler,
    std::shared_ptr<http::listening_loop> loop )
    : implementation_( std::make_unique<implementation>(
          listen,
          handler,
          loop ? std::move( loop )
               : std::make_shared<http::listening_loop>(
                     http::listening_limits_of( default_memory ) ) ) )
{
}

peer_thrift_server::~peer_thrift_server() = default;

auto peer_thrift_server::port() const -> std::uint16_t
{
    return implementation_->port();
}

}
