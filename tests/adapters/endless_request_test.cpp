#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>

#include <catch2/catch.hpp>

using namespace tests;
namespace exchange = pollenstream::exchange;
namespace net = asio::net;

// Guards against callers that send without end until the connection closes.

namespace
{

constexpr auto max_body_bytes = std::uint64_t{ 256 } * 1024;
/// Bytes that the kernel may buffer on a loopback connection.
constexpr auto kernel_buffers = std::size_t{ 16 } * 1024 * 1024;

/// Never answers.
class silent_handler : public asio::request_handler
{
public:
    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        auto limits = exchange::caller_limits{};
        limits.max_body_bytes = max_body_bytes;
        return limits;
    }
    auto handle( asio::raw_request,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        answers.push_back( std::move( answer ) );
        return nullptr;
    }

    std::vector<std::shared_ptr<exchange::answer_channel>> answers;
};

/// A caller that sends `first`, then `repeated` until its connection closes.
class endless_caller
{
public:
    endless_caller( net::io_context& io,
                    pollenstream::core::address const& at,
                    std::string first,
                    std::string repeated )
        : socket_( io ), first_( std::move( first ) ),
          repeated_( std::move( repeated ) )
    {
        socket_.connect( { net::ip::make_address( at.ip ), at.port } );
        send( first_ );
    }
    auto close() -> void
    {
        auto ec = asio::error_code{};
        socket_.close( ec );
    }

    std::size_t sent_bytes{ 0 };
    bool is_closed{ false };

private:
    auto send( std::string const& bytes ) -> void
    {
        net::async_write( socket_, net::buffer( bytes ),
                          [this]( auto ec, std::size_t n )
                          {
                              sent_bytes += n;
                              is_closed = ec.failed();
                              if ( !ec )
                                  send( repeated_ );
                          } );
    }

    asio::tcp::socket socket_;
    std::string first_;
    std::string repeated_;
};

}

TEST_CASE( "a caller that sends without end is cut off",
           "[caller_listener][endless]" )
{
    auto const head = std::string( "POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n" );
    auto const text = std::string( 1'000, 'x' );
    auto const [name, first, repeated] =
        GENERATE_COPY( table<std::string, std::string, std::string>(
            { { "a request line", "", text },
              { "a head", "POST / HTTP/1.1\r\nHost: h\r\n", "X-Y: z\r\n" },
              { "a chunk header", head + "4;", text },
              { "a trailer", head + "0\r\n", "X-Y: z\r\n" },
              { "a body of chunks", head, "4\r\nbody\r\n" } } ) );
    INFO( name );
    auto io = net::io_context{};
    auto handler = silent_handler{};
    auto listener = asio::caller_listener( io, { "127.0.0.1", 0 }, handler );
    auto const before = resident_bytes();
    auto caller = endless_caller( io, listener.address(), first, repeated );
    run_until( io,
               [&]
               {
                   return caller.is_closed;
               } );
    CHECK( caller.is_closed );
    CHECK( listener.connections() == 0 );
    CHECK( handler.answers.empty() );
    CHECK( resident_bytes() < before + kernel_buffers );
}

TEST_CASE( "requests behind one that is being answered are not read without "
           "end",
           "[caller_listener][endless]" )
{
    auto io = net::io_context{};
    auto handler = silent_handler{};
    auto listener = asio::caller_listener( io, { "127.0.0.1", 0 }, handler );
    auto const request = std::string( "GET / HTTP/1.1\r\nHost: h\r\n\r\n" );
    auto caller = endless_caller( io, listener.address(), request, request );
    auto sent = std::size_t{ 0 };
    auto const stands_still = [&]
    {
        return std::exchange( sent, caller.sent_bytes ) == caller.sent_bytes &&
               sent > 0;
    };
    for ( auto i = 0; i < 200 && !stands_still(); ++i )
        io.run_for( std::chrono::milliseconds( 20 ) );
    CHECK( handler.answers.size() == 1 );
    CHECK( caller.sent_bytes < kernel_buffers );
    caller.close();
}
