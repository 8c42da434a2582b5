#include <pollenstream/peers/cbor.hpp>
#include <pollenstream/peers/compression.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace peers = pollenstream::peers;

// Guards against a message that exhausts the stack: each byte opens an array.
TEST_CASE( "a message that is nested too deep is malformed", "[peers][cbor]" )
{
    constexpr auto datagram_bytes = std::size_t{ 60'000 };
    constexpr auto array_of_one = '\x81';
    constexpr auto map_of_one = '\xa1';
    CHECK( peers::decode( std::string( datagram_bytes, array_of_one ) )
               .has_error() );
    auto maps = std::string{};
    for ( auto i = std::size_t{ 0 }; i < datagram_bytes; i += 2 )
        maps += { map_of_one, '\x60' };
    CHECK( peers::decode( maps ).has_error() );
    // Some kilobytes, once they are compressed.
    constexpr auto update_bytes = std::size_t{ 4'000'000 };
    CHECK( peers::decode_update(
               peers::compress( std::string( update_bytes, array_of_one ) ) )
               .has_error() );
}

TEST_CASE( "one value too many is an error", "[peers][cbor]" )
{
    auto const bytes_of = []( std::size_t elements )
    {
        auto bytes = std::string{};
        nlohmann::json::to_cbor( nlohmann::json( elements, 0 ), bytes );
        return bytes;
    };
    // The array is a value as well.
    CHECK( peers::parse_cbor( bytes_of( peers::max_cbor_values - 1 ) )
               .has_value() );
    CHECK(
        peers::parse_cbor( bytes_of( peers::max_cbor_values ) ).has_error() );
}

TEST_CASE( "an update in a datagram may not expand without end",
           "[peers][cbor]" )
{
    auto update = pollenstream::registry::record_update{};
    update.batch.records.push_back(
        { "key", std::string( 5'000'000, 'v' ), {} } );
    auto const bytes = peers::encode_update( update );
    CHECK( peers::decode_datagram_update( bytes ).has_error() );
    CHECK( peers::decode_update( bytes ).has_value() );
}

TEST_CASE( "valid CBOR is parsed, anything else is an error", "[peers][cbor]" )
{
    auto const value = nlohmann::json{ { "a", { 1, "x", true } } };
    auto bytes = std::string{};
    nlohmann::json::to_cbor( value, bytes );
    REQUIRE( peers::parse_cbor( bytes ).has_value() );
    CHECK( peers::parse_cbor( bytes ).value() == value );
    CHECK( peers::parse_cbor( "" ).has_error() );
    CHECK( peers::parse_cbor( bytes + "x" ).has_error() );
    CHECK( peers::parse_cbor( bytes.substr( 0, 3 ) ).has_error() );
    // An array that announces more elements than can exist.
    CHECK( peers::parse_cbor( "\x9b" + std::string( 8, '\x7f' ) ).has_error() );
}
