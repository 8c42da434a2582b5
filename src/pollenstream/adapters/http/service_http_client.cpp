#include <pollenstream/adapters/http/bounded_body.hpp>
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
    request_and_collect( *client, message )
        .then(
            [client, callback = std::move( callback )](
                pplx::task<collected_response> const& done )
            {
                auto reply = ports::service_reply{};
                try
                {
                    auto answer = done.get();
                    reply.status = answer.response.status_code();
                    reply.content_type =
                        answer.response.headers().content_type();
                    reply.body = std::move( answer.body );
                }
                catch ( ... )
                {
                    callback( error_of( std::current_exception() ) );
                    return;
                }
                callback( reply );
            } );
}

}
