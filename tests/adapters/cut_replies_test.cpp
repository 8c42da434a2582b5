#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <catch2/catch.hpp>

namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
namespace peers = pollenstream::peers;
namespace ports = pollenstream::ports;
namespace registry = pollenstream::registry;

// Guards against a beginning of a reply that is read as all of it. Replies
// without a length may be cut at any byte, and their readers are not told.

namespace
{

/// Nested deeper than is parsed, so that part of it is left out.
auto deep_value() -> std::string
{
    constexpr auto depth = std::size_t{ 80 };
    return std::string( depth, '[' ) + std::string( depth, ']' );
}

}

TEST_CASE( "no proper beginning of the instance list is one",
           "[daemon][broken][cut]" )
{
    auto const text = R"({"instances": [{"id": "a", "callers": "127.0.0.1:1",)"
                      R"( "peers": "127.0.0.1:2", "deep": )" +
                      deep_value() +
                      R"(}], "targets": [{"id": "t\"", "service": "s",)"
                      R"( "address": "127.0.0.1:3"}]})";
    auto const is_list = []( std::string const& part )
    {
        auto const json = http::parse_json( http::without_deep_values( part ) );
        return json.has_value() && http::read_listing( json.value() );
    };
    REQUIRE( is_list( text ) );
    for ( auto length = std::size_t{ 0 }; length < text.size(); ++length )
    {
        INFO( length );
        CHECK_FALSE( is_list( text.substr( 0, length ) ) );
    }
}

TEST_CASE( "no proper beginning of the records of an instance is an update",
           "[peers][broken][cut]" )
{
    auto update = registry::record_update{};
    for ( auto const* const key : { "a", "b", "c" } )
        update.batch.records.push_back(
            { key, "value", ports::store_revision( 1 ) } );
    auto const bytes = peers::encode_update( update );
    REQUIRE( peers::decode_update( bytes ).has_value() );
    for ( auto length = std::size_t{ 0 }; length < bytes.size(); ++length )
    {
        INFO( length );
        CHECK( peers::decode_update( bytes.substr( 0, length ) ).has_error() );
    }
}
