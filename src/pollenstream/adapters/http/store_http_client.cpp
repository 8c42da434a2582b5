#include <pollenstream/adapters/http/json_call.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/store_http_client.hpp>

#include <cpprest/http_msg.h>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using web::http::methods;

constexpr auto call_timeout = core::duration( 3s );
/// Exceeds the longest wait that a watch requests from the store.
constexpr auto watch_timeout = core::duration( 45s );

auto path_of( std::string const& key ) -> std::string
{
    return "/kv/" + encode_part( key );
}

auto read_key_value( json_result const& reply )
    -> core::result<ports::key_value>
{
    if ( !reply )
        return reply.error();
    auto fields = json_fields( reply.value(), "$" );
    auto read = ports::key_value{};
    read.value = fields.text( "value", {} );
    read.version = ports::key_version( fields.integer( "version", 0 ) );
    auto const status = fields.status();
    if ( !status )
        return status.error();
    return read;
}

}

store_http_client::store_http_client( core::address store )
    : store_( std::move( store ) ), calls_( call_timeout ),
      watches_( watch_timeout )
{
}

auto store_http_client::get( std::string const& key )
    -> core::result<ports::key_value>
{
    auto const request =
        json_request{ methods::GET, path_of( key ), std::nullopt };
    return read_key_value( call_json_and_wait( calls_, store_, request ) );
}

auto store_http_client::compare_and_swap( std::string const& key,
                                          ports::key_version expected,
                                          std::string const& value )
    -> core::result<ports::key_version>
{
    auto body = web::json::value::object();
    body["expected"] = web::json::value::number( expected.count() );
    body["value"] = web::json::value::string( value );
    auto const request = json_request{ methods::PUT, path_of( key ), body };
    auto const reply =
        read_key_value( call_json_and_wait( calls_, store_, request ) );
    if ( !reply )
        return reply.error();
    return reply.value().version;
}

auto store_http_client::watch( std::string const& key,
                               ports::key_version known,
                               core::duration limit )
    -> core::result<ports::key_value>
{
    auto const path =
        path_of( key ) + "?known=" + std::to_string( known.count() ) +
        "&wait_ms=" + std::to_string( core::milliseconds_of( limit ) );
    auto const request = json_request{ methods::GET, path, std::nullopt };
    return read_key_value( call_json_and_wait( watches_, store_, request ) );
}

}
