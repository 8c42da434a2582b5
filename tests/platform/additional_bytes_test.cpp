#include "support/exchange_fixture.hpp"
#include "support/tcp_peer.hpp"

#include <catch2/catch.hpp>

#include <target_calls.hpp>

using namespace tests;
namespace platform = pollenstream::platform;

// Guards against additional bytes behind an answer that are taken for the
// answer to the next request on the connection, or for proof that it has not
// run, so that a request that may run once runs twice.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 1 } * 1024 * 1024;
constexpr auto rejection =
    "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

auto answer_to( std::string const& id, std::string const& body ) -> std::string
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nServer-Seal: s\r\nContent-Length: " +
           std::to_string( body.size() ) + "\r\n\r\n" + body;
}

/// Records one answer.
class received_answer : public exchange::attempt_listener
{
public:
    auto on_head( exchange::answer_head head ) -> void override
    {
        status = head.status;
    }
    auto on_body( std::string bytes ) -> void override
    {
        body += bytes;
    }
    auto on_end( exchange::attempt_end ) -> void override
    {
        ended = true;
    }

    int status{ 0 };
    std::string body;
    bool ended{ false };
};

/// Calls to one target over real connections.
struct target_fixture
{
    auto call( std::string const& id, bool fresh = false )
        -> std::shared_ptr<received_answer>
    {
        auto request = exchange::outgoing_request{};
        request.id = exchange::attempt_id( id );
        request.target = core::target_id( "t" );
        request.address = server.address();
        request.fresh_connection = fresh;
        request.head =
            std::make_shared<std::string const>( "GET / HTTP/1.1\r\n\r\n" );
        auto const answer = std::make_shared<received_answer>();
        calls.send( std::move( request ), answer );
        run_until( io,
                   [&]
                   {
                       return answer->ended;
                   } );
        return answer;
    }

    asio::net::io_context io;
    asio::http_client http{ io, max_reply_memory };
    platform::target_calls calls{ http };
    tcp_peer server{ io };
};

}

TEST_CASE( "additional bytes without an id are not the next answer",
           "[platform][additional]" )
{
    auto f = target_fixture{};
    f.server.answer_in_turn(
        { answer_to( "a", "one" ), "HTTP/1.1 200 OK\r\nServer-Seal: "
                                   "s\r\nContent-Length: 5\r\n\r\nother" +
                                       answer_to( "b", "two" ) } );
    CHECK( f.call( "a" )->body == "one" );
    CHECK( f.call( "b" )->body == "two" );
    CHECK( f.http.connections_made() == 1 );
}

TEST_CASE( "a target that rejects a request needs no id for it",
           "[platform][additional]" )
{
    auto f = target_fixture{};
    f.server.answer_in_turn(
        { rejection, answer_to( "b", "two" ), rejection } );
    CHECK( f.call( "a" )->status == 503 );
    CHECK( f.call( "b" )->body == "two" );
    CHECK( f.call( "c" )->status == 503 );
}

TEST_CASE( "a request that may run once gets a connection of its own",
           "[exchange][additional]" )
{
    auto f = exchange_fixture{};
    for ( auto const* path : { "/unsafe/x", "/once/x" } )
        f.start( f.request( path ) );
    for ( auto const* path : { "/safe/x", "/chat/x" } )
        f.start( f.request( path ) );
    REQUIRE( f.targets.all.size() == 4 );
    CHECK( f.targets.all[0]->request.fresh_connection );
    CHECK( f.targets.all[1]->request.fresh_connection );
    CHECK_FALSE( f.targets.all[2]->request.fresh_connection );
    CHECK_FALSE( f.targets.all[3]->request.fresh_connection );
}
