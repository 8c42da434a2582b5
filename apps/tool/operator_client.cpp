#include "operator_client.hpp"

#include <pollenstream/adapters/http/json_fields.hpp>

#include <cpprest/http_msg.h>

#include <chrono>
#include <utility>

namespace apps::tool
{

namespace
{

namespace http = pollenstream::adapters::http;

constexpr auto timeout = std::chrono::seconds( 60 );

}

operator_client::operator_client( core::address daemon, std::string token )
    : client_( timeout ), daemon_( std::move( daemon ) ),
      token_( std::move( token ) )
{
}

auto operator_client::get( std::string const& path )
    -> core::result<web::json::value>
{
    auto request = http::call_request{};
    request.target = path;
    return send( std::move( request ) );
}

auto operator_client::post( std::string const& path,
                            web::json::value const& body )
    -> core::result<web::json::value>
{
    auto request = http::call_request{};
    request.method = "POST";
    request.target = path;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = body.serialize();
    return send( std::move( request ) );
}

auto operator_client::send( http::call_request request )
    -> core::result<web::json::value>
{
    request.headers.push_back( { "Authorization", "Bearer " + token_ } );
    auto const answer = client_.collect_and_wait( daemon_, request );
    if ( !answer )
        return answer.error();
    auto const status = answer.value().head.status;
    if ( status == web::http::status_codes::OK )
        return http::parse_json( answer.value().body );
    return core::error{ core::error_code::failed,
                        "status " + std::to_string( status ) + ": " +
                            answer.value().body };
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
