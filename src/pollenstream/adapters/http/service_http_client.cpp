#include <pollenstream/adapters/http/bounded_body.hpp>
#include <pollenstream/adapters/http/client_pool.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>
#include <pollenstream/adapters/system/guarded.hpp>
#include <pollenstream/adapters/system/port_probe.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;

/// A refused connection shows within one round trip.
constexpr auto probe_timeout = core::duration( 400ms );

/// True if the answer ends with its connection alone.
auto is_delimited_by_close( web::http::http_response const& answer ) -> bool
{
    auto const& headers = answer.headers();
    auto const status = answer.status_code();
    auto const has_no_body = status == web::http::status_codes::NoContent ||
                             status == web::http::status_codes::NotModified;
    return !has_no_body && !headers.has( "Content-Length" ) &&
           !headers.has( "Transfer-Encoding" );
}

/// The answer of `target`, or an error if it may have been cut short: one
/// without a length is whole only if it has a body, and if the process that
/// sent it still listens.
auto checked_reply( collected_response answer, core::address const& target )
    -> core::result<ports::service_reply>
{
    if ( is_delimited_by_close( answer.response ) &&
         ( answer.body.empty() ||
           !system::accepts_connections( target, probe_timeout ) ) )
        return core::error{ core::error_code::connection_lost,
                            "the answer may have been cut short" };
    auto reply = ports::service_reply{};
    reply.status = answer.response.status_code();
    reply.content_type = answer.response.headers().content_type();
    reply.body = std::move( answer.body );
    return reply;
}

}

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
            [client, target, callback = std::move( callback )](
                pplx::task<collected_response> const& done )
            {
                auto reply = core::result<ports::service_reply>(
                    ports::service_reply{} );
                try
                {
                    reply = checked_reply( done.get(), target );
                }
                catch ( ... )
                {
                    reply = error_of( std::current_exception() );
                }
                system::run_guarded( "the handler of a call",
                                     [&]
                                     {
                                         callback( reply );
                                     } );
            } );
}

}
