#include <pollenstream/peers/state_transfer.hpp>

#include <nlohmann/json.hpp>

namespace pollenstream::peers
{

using nlohmann::json;

auto encode_records( ports::record_batch const& batch ) -> std::string
{
    auto records = json::array();
    for ( auto const& r : batch.records )
    {
        auto const value = r.value.value_or( "" );
        records.push_back( json::array(
            { r.key, r.revision.count(),
              json::binary( { value.begin(), value.end() } ) } ) );
    }
    auto bytes = std::string{};
    json::to_cbor( json::array( { batch.at.count(), std::move( records ) } ),
                   bytes );
    return bytes;
}

auto decode_records( std::string const& bytes )
    -> core::result<ports::record_batch>
{
    try
    {
        auto const object = json::from_cbor( bytes );
        auto batch = ports::record_batch{};
        batch.at = ports::store_revision( object.at( 0 ).get<std::int64_t>() );
        for ( auto const& entry : object.at( 1 ) )
        {
            auto const& value = entry.at( 2 ).get_binary();
            batch.records.push_back(
                { entry.at( 0 ).get<std::string>(),
                  std::string( value.begin(), value.end() ),
                  ports::store_revision(
                      entry.at( 1 ).get<std::int64_t>() ) } );
        }
        return batch;
    }
    catch ( json::exception const& e )
    {
        return core::error{ core::error_code::malformed, e.what() };
    }
}

}
