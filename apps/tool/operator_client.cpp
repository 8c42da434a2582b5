#include "operator_client.hpp"

#include <pollenstream/adapters/http/bounded_body.hpp>
#include <pollenstream/adapters/http/client_pool.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>

#include <chrono>
#include <utility>

namespace apps::tool
{

namespace
{

namespace http = pollenstream::adapters::http;

constexpr auto timeout = std::chrono::seconds( 60 );

auto configuration_of_client() -> web::http::client::http_client_config
{
    auto config = web::http::client::http_client_config{};
    config.set_timeout( timeout );
    return config;
}

}

operator_client::operator_client( core::address const& daemon,
                                  std::string token )
    : client_( "http://" + core::to_string( daemon ),
               configuration_of_client() ),
      token_( std::move( token ) )
{
}

auto operator_client::get( std::string const& path )
    -> core::result<web::json::value>
{
    auto message = web::http::http_request( web::http::methods::GET );
    message.set_request_uri( path );
    return send( message );
}

auto operator_client::post( std::string const& path,
                            web::json::value const& body )
    -> core::result<web::json::value>
{
    auto message = web::http::http_request( web::http::methods::POST );
    message.set_request_uri( path );
    message.set_body( body );
    return send( message );
}

auto operator_client::send( web::http::http_request message )
    -> core::result<web::json::value>
{
    message.headers().add( "Authorization", "Bearer " + token_ );
    try
    {
        auto const reply = http::request_and_collect( client_, message ).get();
        auto const status = reply.response.status_code();
        if ( status == web::http::status_codes::OK )
            return http::parse_json( reply.body );
        return core::error{ core::error_code::failed,
                            "status " + std::to_string( status ) + ": " +
                                reply.body };
    }
    catch ( std::exception const& )
    {
        return http::error_of( std::current_exception() );
    }
}

auto show_configuration( operator_client& daemon )
    -> core::result<shown_configuration>
{
    auto const json = daemon.get( "/v1/configuration" );
    if ( !json )
        return json.error();
    auto shown = shown_configuration{};
    shown.revision = json.value().at( "revision" ).as_number().to_int64();
    for ( auto const& [name, text] :
          json.value().at( "documents" ).as_object() )
        shown.documents[name] = text.as_string();
    return shown;
}

}
