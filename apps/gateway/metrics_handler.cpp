#include "metrics_handler.hpp"

namespace pollenstream::gateway
{

namespace
{

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;

}

metrics_handler::metrics_handler( source metrics, source state )
    : metrics_( std::move( metrics ) ), state_( std::move( state ) )
{
}

auto metrics_handler::limits() const -> exchange::caller_limits
{
    return exchange::limits_without_body();
}

auto metrics_handler::handle( adapters::asio::raw_request request,
                              std::shared_ptr<exchange::answer_channel> answer )
    -> std::shared_ptr<adapters::asio::request_in_progress>
{
    auto const send =
        [&answer]( int status, char const* type, std::string body )
    {
        answer->send_whole(
            { status, { { "Content-Type", type } }, std::move( body ) } );
    };
    if ( request.target == "/metrics" )
        send( status_ok, "text/plain; version=0.0.4", metrics_() );
    else if ( request.target == "/state" )
        send( status_ok, "application/json", state_() );
    else
        send( status_not_found, "text/plain", "no such path\n" );
    return nullptr;
}

}
