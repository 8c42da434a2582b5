#include <pollenstream/adapters/http/client_pool.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>

#include <memory>
#include <utility>

namespace pollenstream::adapters::http
{

auto service_http_client::call( core::address const& target,
                                ports::service_call const& request,
                                done callback ) -> void
{
    auto message = web::http::http_request( request.method );
    message.set_request_uri( web::uri( request.path ) );
    message.headers().add( "Connection", "close" );
    if ( !request.key.empty() )
        message.headers().add( "Idempotency-Key", request.key.str() );
    if ( !request.body.empty() )
        message.set_body( request.body, request.content_type );
    auto const client = fresh_client( target, request.time_left );
    auto reply = std::make_shared<ports::service_reply>();
    client->request( message )
        .then(
            [reply]( web::http::http_response answer )
            {
                reply->status = answer.status_code();
                reply->content_type = answer.headers().content_type();
                return answer.extract_utf8string( true );
            } )
        .then(
            [client, reply, callback = std::move( callback )](
                pplx::task<std::string> const& done )
            {
                try
                {
                    reply->body = done.get();
                }
                catch ( ... )
                {
                    callback( error_of( std::current_exception() ) );
                    return;
                }
                callback( *reply );
            } );
}

}
