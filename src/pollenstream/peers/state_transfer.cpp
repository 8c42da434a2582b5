#include <pollenstream/peers/cbor.hpp>
#include <pollenstream/peers/compression.hpp>
#include <pollenstream/peers/state_transfer.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

namespace pollenstream::peers
{

namespace
{

using nlohmann::json;

/// Limits what a compressed update may expand to. A value in the store has at
/// most one megabyte, and few values are large.
constexpr auto max_update_bytes = std::size_t{ 32 } * 1024 * 1024;
/// The same for one in a datagram.
constexpr auto max_datagram_update_bytes = std::size_t{ 4 } * 1024 * 1024;
constexpr auto after_query = std::string_view( "?after=" );

auto to_json( ports::record const& r ) -> json
{
    auto value = json( nullptr );
    if ( r.value )
        value = json::binary( { r.value->begin(), r.value->end() } );
    return json::array( { r.key, r.revision.count(), std::move( value ) } );
}

auto from_json( json const& entry ) -> ports::record
{
    auto r = ports::record{};
    r.key = entry.at( 0 ).get<std::string>();
    r.revision = ports::store_revision( entry.at( 1 ).get<std::int64_t>() );
    if ( entry.at( 2 ).is_null() )
        return r;
    auto const& value = entry.at( 2 ).get_binary();
    r.value = std::string( value.begin(), value.end() );
    return r;
}

auto decode_update( std::string const& bytes, std::size_t max_bytes )
    -> core::result<registry::record_update>
{
    auto const decompressed = decompress( bytes, max_bytes );
    if ( decompressed.has_error() )
        return decompressed.error();
    auto const parsed = parse_cbor( decompressed.value() );
    if ( parsed.has_error() )
        return parsed.error();
    try
    {
        auto const& object = parsed.value();
        auto update = registry::record_update{};
        update.from =
            ports::store_revision( object.at( 0 ).get<std::int64_t>() );
        update.batch.at =
            ports::store_revision( object.at( 1 ).get<std::int64_t>() );
        update.lapse_possible = object.at( 2 ).get<bool>();
        for ( auto const& entry : object.at( 3 ) )
            update.batch.records.push_back( from_json( entry ) );
        return update;
    }
    catch ( json::exception const& e )
    {
        return core::error{ core::error_code::malformed, e.what() };
    }
}

}

auto state_request_path( ports::store_revision after ) -> std::string
{
    return std::string( state_path ) + std::string( after_query ) +
           std::to_string( after.count() );
}

auto requested_revision( std::string const& request_target )
    -> ports::store_revision
{
    auto const at = request_target.find( after_query );
    auto revision = std::int64_t{ 0 };
    if ( at != std::string::npos )
        std::from_chars( request_target.data() + at + after_query.size(),
                         request_target.data() + request_target.size(),
                         revision );
    return ports::store_revision( revision );
}

auto encode_update( registry::record_update const& update ) -> std::string
{
    auto records = json::array();
    for ( auto const& r : update.batch.records )
        records.push_back( to_json( r ) );
    auto bytes = std::string{};
    json::to_cbor(
        json::array( { update.from.count(), update.batch.at.count(),
                       update.lapse_possible, std::move( records ) } ),
        bytes );
    return compress( bytes );
}

auto decode_update( std::string const& bytes )
    -> core::result<registry::record_update>
{
    return decode_update( bytes, max_update_bytes );
}

auto decode_datagram_update( std::string const& bytes )
    -> core::result<registry::record_update>
{
    return decode_update( bytes, max_datagram_update_bytes );
}

}
