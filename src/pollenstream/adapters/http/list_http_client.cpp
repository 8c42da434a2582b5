#include <pollenstream/adapters/http/json_call.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/list_http_client.hpp>

#include <cpprest/http_msg.h>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;

constexpr auto call_timeout = core::duration( 3s );

auto read_state( json_fields& fields ) -> ports::listed_state
{
    auto const state = fields.text( "state", "live" );
    if ( state == "leaving" )
        return ports::listed_state::leaving;
    if ( state != "live" )
        fields.fault( "state", "is neither live nor leaving" );
    return ports::listed_state::live;
}

auto read_address( json_fields& fields, std::string const& key )
    -> core::address
{
    auto const parsed = core::parse_address( fields.required_text( key ) );
    if ( parsed )
        return parsed.value();
    fields.fault( key, "is not IP:PORT" );
    return {};
}

auto read_instance( web::json::value const& json )
    -> core::result<ports::listed_instance>
{
    auto fields = json_fields( json, "$.instances[]" );
    auto one = ports::listed_instance{};
    one.id = core::instance_id( fields.required_text( "id" ) );
    one.data_centre = core::data_centre_id( fields.text( "place", {} ) );
    one.callers = read_address( fields, "callers" );
    one.peers = read_address( fields, "peers" );
    one.state = read_state( fields );
    if ( !fields.status() )
        return fields.status().error();
    return one;
}

auto read_target( web::json::value const& json )
    -> core::result<ports::listed_target>
{
    auto fields = json_fields( json, "$.targets[]" );
    auto one = ports::listed_target{};
    one.id = core::target_id( fields.required_text( "id" ) );
    one.service = core::service_id( fields.required_text( "service" ) );
    one.data_centre = core::data_centre_id( fields.text( "place", {} ) );
    one.address = read_address( fields, "address" );
    one.state = read_state( fields );
    if ( !fields.status() )
        return fields.status().error();
    return one;
}

/// An entry that cannot be used is left out alone.
template <class Entry>
auto add_entry( core::result<Entry> read,
                std::vector<Entry>& to,
                ports::instance_listing& listing ) -> void
{
    if ( read )
        to.push_back( std::move( read.value() ) );
    else
        listing.unusable.push_back( read.error().detail );
}

}

list_http_client::list_http_client( core::address list )
    : list_( std::move( list ) ), calls_( call_timeout )
{
}

auto list_http_client::fetch()
    -> core::result<std::optional<ports::instance_listing>>
{
    using web::http::status_codes;
    auto request = call_request{};
    request.target = "/instances";
    if ( !entity_tag_.empty() )
        request.headers = { { "If-None-Match", entity_tag_ } };
    auto const answer = calls_.collect_and_wait( list_, request );
    if ( !answer )
        return answer.error();
    auto const& [head, text, is_delimited_by_close] = answer.value();
    if ( head.status == status_codes::NotModified )
        return std::optional<ports::instance_listing>{};
    if ( head.status != status_codes::OK )
        return error_of_status( head.status, text );
    auto const json = parse_json( without_deep_values( text ) );
    if ( !json )
        return json.error();
    auto listing = read_listing( json.value() );
    if ( !listing )
        return listing.error();
    entity_tag_ = header_value( head.headers, "ETag" );
    return std::optional( std::move( listing.value() ) );
}

auto read_listing( web::json::value const& json )
    -> core::result<ports::instance_listing>
{
    auto listing = ports::instance_listing{};
    auto root = json_fields( json, "$" );
    for ( auto const& each : root.array( "instances" ) )
        add_entry( read_instance( each ), listing.instances, listing );
    for ( auto const& each : root.array( "targets" ) )
        add_entry( read_target( each ), listing.targets, listing );
    if ( !root.status() )
        return root.status().error();
    return listing;
}

}
