#include <pollenstream/adapters/http/bounded_body.hpp>
#include <pollenstream/adapters/http/push_buffer.hpp>

#include <stdexcept>
#include <utility>

namespace pollenstream::adapters::http
{

auto request_and_collect( web::http::client::http_client& client,
                          web::http::http_request message,
                          std::size_t max_bytes )
    -> pplx::task<collected_response>
{
    auto const body = std::make_shared<std::string>();
    message.set_response_stream( make_push_stream(
        [body, max_bytes]( std::string_view bytes )
        {
            if ( bytes.size() > max_bytes - body->size() )
                throw std::length_error( "the body is too large" );
            body->append( bytes );
        } ) );
    return client.request( message )
        .then(
            []( web::http::http_response const& response )
            {
                return response.content_ready();
            } )
        .then(
            [body]( web::http::http_response response )
            {
                return collected_response{ std::move( response ),
                                           std::move( *body ) };
            } );
}

}
