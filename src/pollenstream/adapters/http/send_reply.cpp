#include <pollenstream/adapters/http/send_reply.hpp>

#include <utility>

namespace pollenstream::adapters::http
{

auto send_reply( web::http::http_request const& request,
                 web::http::http_response const& response,
                 std::function<void()> on_failure ) -> void
{
    auto message = request;
    message.reply( response )
        .then(
            [on_failure =
                 std::move( on_failure )]( pplx::task<void> const& done )
            {
                try
                {
                    done.get();
                }
                catch ( std::exception const& )
                {
                    if ( on_failure )
                        on_failure();
                }
            } );
}

auto send_json( web::http::http_request const& request,
                web::json::value const& body ) -> void
{
    auto response = web::http::http_response( web::http::status_codes::OK );
    response.set_body( body );
    send_reply( request, response );
}

}
