#include <pollenstream/adapters/http/json_call.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>

#include <cpprest/base_uri.h>
#include <cpprest/http_msg.h>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::http::status_codes;

auto read_text( int status, std::string const& text ) -> json_result
{
    auto const ok =
        status >= status_codes::OK && status < status_codes::MultipleChoices;
    if ( !ok )
        return error_of_status( status, text );
    if ( text.empty() )
        return web::json::value::null();
    return parse_json( text );
}

auto call_of( json_request const& request ) -> call_request
{
    auto call = call_request{};
    call.method = request.method;
    call.target = request.path;
    if ( !request.body )
        return call;
    call.headers = { { "Content-Type", "application/json" } };
    call.body = request.body->serialize();
    return call;
}

auto result_of( core::result<collected_answer> const& answer ) -> json_result
{
    if ( !answer )
        return answer.error();
    return read_text( answer.value().head.status, answer.value().body );
}

}

auto call_json( call_client const& client,
                core::address const& to,
                json_request const& request,
                json_done callback ) -> void
{
    client.collect( to, call_of( request ),
                    [callback = std::move( callback )](
                        core::result<collected_answer> const& answer )
                    {
                        callback( result_of( answer ) );
                    } );
}

auto call_json_and_wait( call_client const& client,
                         core::address const& to,
                         json_request const& request ) -> json_result
{
    return result_of( client.collect_and_wait( to, call_of( request ) ) );
}

auto error_of_status( int status, std::string detail ) -> core::error
{
    if ( detail.empty() )
        detail = "status " + std::to_string( status );
    if ( status == status_codes::NotFound )
        return { core::error_code::not_found, std::move( detail ) };
    if ( status == status_codes::Conflict )
        return { core::error_code::conflict, std::move( detail ) };
    if ( status == status_codes::ServiceUnavailable ||
         status == status_codes::PreconditionFailed )
        return { core::error_code::refused, std::move( detail ) };
    auto const is_client_error = status >= status_codes::BadRequest &&
                                 status < status_codes::InternalError;
    auto const code = is_client_error ? core::error_code::malformed
                                      : core::error_code::failed;
    return { code, std::move( detail ) };
}

auto encode_part( std::string const& text ) -> std::string
{
    return web::uri::encode_data_string( text );
}

}
