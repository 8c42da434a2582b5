#include <pollenstream/adapters/http/bounded_body.hpp>
#include <pollenstream/adapters/http/json_call.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/system/guarded.hpp>

#include <future>
#include <memory>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

auto read_text( web::http::status_code status, std::string const& text )
    -> json_result
{
    auto const ok = status >= web::http::status_codes::OK &&
                    status < web::http::status_codes::MultipleChoices;
    if ( !ok )
        return error_of_status( status, text );
    if ( text.empty() )
        return web::json::value::null();
    return parse_json( text );
}

}

auto call_json( client_pool& pool,
                core::address const& to,
                json_request const& request,
                json_done callback ) -> void
{
    auto message = web::http::http_request( request.method );
    message.set_request_uri( web::uri( request.path ) );
    if ( request.body )
        message.set_body( *request.body );
    auto const client = pool.client_for( to );
    request_and_collect( *client, message )
        .then(
            [client, to, &pool, callback = std::move( callback )](
                pplx::task<collected_response> const& done )
            {
                auto result = json_result( web::json::value::null() );
                try
                {
                    auto const reply = done.get();
                    result =
                        read_text( reply.response.status_code(), reply.body );
                }
                catch ( ... )
                {
                    pool.drop( to );
                    result = error_of( std::current_exception() );
                }
                system::run_guarded( "the handler of a call",
                                     [&]
                                     {
                                         callback( result );
                                     } );
            } );
}

auto call_json_and_wait( client_pool& pool,
                         core::address const& to,
                         json_request const& request ) -> json_result
{
    auto answer = std::make_shared<std::promise<json_result>>();
    call_json( pool, to, request,
               [answer]( json_result const& result )
               {
                   answer->set_value( result );
               } );
    return answer->get_future().get();
}

auto error_of_status( web::http::status_code status, std::string detail )
    -> core::error
{
    using web::http::status_codes;
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
