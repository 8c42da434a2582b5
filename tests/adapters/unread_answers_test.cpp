#include "support/tcp_peer.hpp"
#include <pollenstream/adapters/asio/caller_listener.hpp>
#include <pollenstream/adapters/asio/http_client.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace tests;
namespace core = pollenstream::core;
namespace exchange = pollenstream::exchange;
namespace net = asio::net;

// Guards against memory that is kept for callers after their answer is whole.

namespace
{

constexpr auto answer_bytes = std::size_t{ 1 } << 20U;
constexpr auto callers = 40;
constexpr auto status_ok = 200;

/// Answers each request at once with a long body.
class long_answers : public asio::request_handler
{
public:
    [[nodiscard]] auto limits() const -> exchange::caller_limits override
    {
        return {};
    }
    auto handle( asio::raw_request /*request*/,
                 std::shared_ptr<exchange::answer_channel> answer )
        -> std::shared_ptr<asio::request_in_progress> override
    {
        ++answered;
        answer->send_whole(
            { status_ok, {}, std::string( answer_bytes, 'a' ) } );
        return nullptr;
    }

    int answered{ 0 };
};

struct answers_fixture
{
    /// Asks on a connection of its own, which stays open, and reads the answer.
    auto ask_and_read() -> void
    {
        auto call = asio::http_call{};
        call.address = listener.address();
        call.pool = "caller " + std::to_string( ++calls );
        call.text = std::make_shared<std::string const>(
            "GET /x HTTP/1.1\r\nHost: h\r\n\r\n" );
        call.max_reply_bytes = 2 * answer_bytes;
        client.fetch( std::move( call ), std::chrono::seconds( 9 ),
                      [this]( auto reply )
                      {
                          read += reply.has_value() ? 1 : 0;
                      } );
    }

    net::io_context io;
    long_answers handler;
    asio::caller_listener listener{ io, { "127.0.0.1", 0 }, handler };
    asio::http_client client{ io, 4 * answer_bytes };
    int calls{ 0 };
    int read{ 0 };
};

}

TEST_CASE( "an idle connection keeps no memory of its last answer",
           "[caller_listener][memory]" )
{
    auto f = answers_fixture{};
    auto const before = resident_bytes();
    for ( auto i = 0; i < callers; ++i )
    {
        f.ask_and_read();
        run_until( f.io,
                   [&]
                   {
                       return f.read == f.calls;
                   } );
    }
    REQUIRE( f.read == callers );
    CHECK( f.listener.connections() == callers );
    CHECK( resident_bytes() < before + callers / 4 * answer_bytes );
}
