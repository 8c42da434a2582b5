#include <pollenstream/adapters/asio/content_coding.hpp>
#include <pollenstream/adapters/http/service_http_client.hpp>

#include <cpprest/http_msg.h>

#include <chrono>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using web::http::status_codes;

/// A refused connection shows within one round trip.
constexpr auto probe_timeout = core::duration( 400ms );

auto request_of( ports::service_call const& call ) -> call_request
{
    auto request = call_request{};
    request.method = call.method;
    request.target = call.path;
    request.fresh_connection = true;
    request.headers.push_back( { "Accept-Encoding", "identity" } );
    if ( !call.key.empty() )
        request.headers.push_back( { "Idempotency-Key", call.key.str() } );
    if ( call.body.empty() )
        return request;
    request.headers.push_back( { "Content-Type", call.content_type } );
    request.body = call.body;
    return request;
}

auto reply_of( collected_answer const& answer ) -> ports::service_reply
{
    return { answer.head.status,
             header_value( answer.head.headers, "Content-Type" ), answer.body };
}

auto is_success( collected_answer const& answer ) -> bool
{
    return answer.head.status >= status_codes::OK &&
           answer.head.status < status_codes::MultipleChoices;
}

/// The caller would get the body without the field that names its coding.
auto coded() -> core::error
{
    return { core::error_code::malformed,
             "an answer with a content coding that was not asked for" };
}

auto cut_short() -> core::error
{
    return { core::error_code::connection_lost,
             "the answer may have been cut short" };
}

/// Reports the answer of `target`, or an error if its body is coded, or if it
/// may have been cut short: a success without a length, of which some has
/// arrived, is whole only if the process that sent it still listens.
auto report( collected_answer const& answer,
             core::address const& target,
             ports::service_client::done const& callback ) -> void
{
    if ( asio::has_content_coding( answer.head.headers ) )
        return callback( coded() );
    if ( !answer.is_delimited_by_close || !is_success( answer ) )
        return callback( reply_of( answer ) );
    probe( target, probe_timeout,
           [answer, callback]( std::optional<bool> listens )
           {
               if ( listens.value_or( false ) )
                   callback( reply_of( answer ) );
               else
                   callback( cut_short() );
           } );
}

}

service_http_client::service_http_client()
    // Each call names its own limit.
    : calls_( core::duration( 1ms ) )
{
}

auto service_http_client::call( core::address const& target,
                                ports::service_call const& request,
                                done callback ) -> void
{
    calls_.collect( target, request_of( request ), request.time_left,
                    [target, callback = std::move( callback )](
                        core::result<collected_answer> const& answer )
                    {
                        if ( answer )
                            report( answer.value(), target, callback );
                        else
                            callback( answer.error() );
                    } );
}

}
