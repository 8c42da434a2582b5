#include "support/tcp_peer.hpp"

#include <catch2/catch.hpp>

#include <registry_records.hpp>
#include <store_client.hpp>

using namespace tests;
namespace core = pollenstream::core;
namespace platform = pollenstream::platform;
namespace ports = pollenstream::ports;

// Guards against replies of the store that end the process or take memory
// without end: fields of another type, and bodies or lists that do not end.

namespace
{

constexpr auto max_reply_memory = std::size_t{ 20 } * 1024 * 1024;

auto json_reply( std::string const& body ) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string( body.size() ) + "\r\n\r\n" + body;
}

/// A client of a store that sends given bytes.
struct store_fixture
{
    store_fixture()
        : server( io ), http( io, max_reply_memory ),
          store( http, server.address(), platform::needed_records() )
    {
    }
    /// Lists all records; returns the error, or nullopt after a success.
    auto list_error() -> std::optional<core::error_code>
    {
        auto ended = false;
        auto error = std::optional<core::error_code>{};
        store.list( "", ports::read_age::latest,
                    [&]( auto batch )
                    {
                        ended = true;
                        if ( batch.has_error() )
                            error = batch.error().code;
                    } );
        run_until( io,
                   [&]
                   {
                       return ended;
                   } );
        REQUIRE( ended );
        return error;
    }

    asio::net::io_context io;
    tcp_peer server;
    asio::http_client http;
    platform::store_client store;
};

}

TEST_CASE( "fields of another type in a store's reply are not used",
           "[platform][store]" )
{
    auto f = store_fixture{};
    auto const at = std::string( R"("at":5,"items":[)" );
    auto const item =
        std::string( R"({"key":"k","revision":3,"value":"YQ=="})" );
    SECTION( "the mark of further pages" )
    {
        f.server.answer_with(
            json_reply( "{" + at + item + R"(],"has_more":"yes"})" ) );
        CHECK_FALSE( f.list_error() );
    }
    SECTION( "the mark of a removal" )
    {
        f.server.answer_with( json_reply(
            "{" + at +
            R"({"key":"k","revision":3,"tombstone":7,"value":"YQ=="}]})" ) );
        CHECK_FALSE( f.list_error() );
    }
    SECTION( "a key or a revision" )
    {
        f.server.answer_with( json_reply(
            "{" + at + R"({"key":5,"revision":"x","value":"YQ=="}]})" ) );
        CHECK( f.list_error() == core::error_code::malformed );
    }
    SECTION( "a lease" )
    {
        f.server.answer_with( json_reply( R"({"lease":"x","ttl_ms":1})" ) );
        auto error = std::optional<core::error_code>{};
        f.store.grant_lease( std::chrono::seconds( 1 ),
                             [&]( auto lease )
                             {
                                 REQUIRE( lease.has_error() );
                                 error = lease.error().code;
                             } );
        run_until( f.io,
                   [&]
                   {
                       return error.has_value();
                   } );
        CHECK( error == core::error_code::malformed );
    }
}

TEST_CASE( "a store's reply that does not end is an error",
           "[platform][store][endless]" )
{
    auto f = store_fixture{};
    f.server.answer_without_end( "HTTP/1.1 200 OK\r\n\r\n{\"items\":[",
                                 std::string( 10'000, '[' ) );
    auto const before = resident_bytes();
    CHECK( f.list_error().has_value() );
    CHECK( resident_bytes() < before + 4 * max_reply_memory );
}

TEST_CASE( "a list whose pages do not end is an error",
           "[platform][store][endless]" )
{
    auto f = store_fixture{};
    auto const value = std::string( std::size_t{ 1 } << 20U, 'A' );
    f.server.answer_with( json_reply(
        R"({"at":5,"has_more":true,"items":[{"key":"k","revision":3,"value":")" +
        value + R"("}]})" ) );
    CHECK( f.list_error() == core::error_code::malformed );
}

TEST_CASE( "records of others and values that are too large are left out",
           "[platform][store]" )
{
    auto f = store_fixture{};
    auto const item = []( std::string const& key, std::size_t bytes )
    {
        return R"({"key":")" + key + R"(","revision":3,"value":")" +
               std::string( bytes, 'A' ) + R"("})";
    };
    constexpr auto large = std::size_t{ 1'200'000 };
    f.server.answer_in_turn( {
        json_reply( R"({"at":5,"has_more":true,"items":[)" +
                    item( "a/1", large ) + "," + item( "op/config", 8 ) + "," +
                    item( "other/1", large ) + "]}" ),
        json_reply( R"({"at":6,"has_more":true,"items":[)" +
                    item( "servers/large", large ) + "]}" ),
        json_reply( R"({"at":7,"has_more":true,"items":[)" +
                    item( "servers/small", 8 ) + "," + item( "t/1", large ) +
                    "]}" ),
        "",
    } );
    auto too_large = std::vector<std::string>{};
    f.store.on_too_large = [&]( auto const& key, auto )
    {
        too_large.push_back( key );
    };
    auto listed = std::optional<ports::record_batch>{};
    f.store.list( "", ports::read_age::latest,
                  [&]( auto batch )
                  {
                      REQUIRE( batch.has_value() );
                      listed = std::move( batch.value() );
                  } );
    run_until( f.io,
               [&]
               {
                   return listed.has_value();
               } );
    REQUIRE( listed.has_value() );
    CHECK( listed->at == ports::store_revision( 5 ) );
    REQUIRE( listed->records.size() == 3 );
    CHECK( listed->records[0].key == "op/config" );
    CHECK( listed->records[0].value->size() == 6 );
    CHECK( listed->records[1].key == "servers/large" );
    CHECK( listed->records[1].value->empty() );
    CHECK( listed->records[2].key == "servers/small" );
    CHECK( too_large == std::vector<std::string>{ "servers/large" } );
}
