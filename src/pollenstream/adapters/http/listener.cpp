#include <pollenstream/adapters/http/listener.hpp>
#include <pollenstream/adapters/http/problem.hpp>
#include <pollenstream/adapters/http/send_reply.hpp>

#include <algorithm>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

/// Bodies up to this many times the limit are still read, so that the caller
/// receives the reason for the refusal.
constexpr auto max_excess_factor = std::size_t{ 4 };

auto uri_of( core::address const& at ) -> web::uri
{
    return web::uri( "http://" + core::to_string( at ) );
}

auto decoded_path( web::uri const& from ) -> std::vector<std::string>
{
    auto parts = web::uri::split_path( from.path() );
    for ( auto& part : parts )
        part = web::uri::decode( part );
    return parts;
}

auto matches_path( route const& r, std::vector<std::string> const& path )
    -> bool
{
    if ( path.size() < r.prefix.size() )
        return false;
    if ( path.size() > r.prefix.size() && !r.allows_subpaths )
        return false;
    return std::equal( r.prefix.begin(), r.prefix.end(), path.begin() );
}

auto reply_with( web::http::http_request const& message,
                 ports::answer_end const& end ) -> void
{
    send_reply( message, problem_response( end ) );
}

}

auto received_request::header( std::string const& name ) const -> std::string
{
    auto const& headers = message.headers();
    auto const at = headers.find( name );
    return at == headers.end() ? std::string{} : at->second;
}

auto received_request::query( std::string const& name ) const -> std::string
{
    auto const values = web::uri::split_query( message.request_uri().query() );
    auto const at = values.find( name );
    return at == values.end() ? std::string{} : web::uri::decode( at->second );
}

listener::listener( core::address const& at,
                    std::size_t max_body_size,
                    std::vector<route> routes )
    : at_( at ), max_body_size_( max_body_size ), routes_( std::move( routes ) )
{
}

listener::~listener()
{
    close();
}

auto listener::open() -> void
{
    auto opened = std::make_unique<library_listener>( uri_of( at_ ) );
    opened->support(
        [this]( web::http::http_request const& message )
        {
            receive( message );
        } );
    opened->open().wait();
    listener_ = std::move( opened );
}

auto listener::close() -> void
{
    if ( listener_ )
        listener_->close().wait();
    listener_.reset();
}

auto listener::receive( web::http::http_request message ) -> void
{
    auto const& headers = message.headers();
    auto const is_chunked = headers.has( "Transfer-Encoding" );
    if ( is_chunked )
    {
        reply_with( message,
                    bad_request( "no-length", "send a Content-Length" ) );
        return;
    }
    if ( headers.content_length() > max_body_size_ )
    {
        reply_with( message, bad_request( "too-large",
                                          "the body is larger than " +
                                              std::to_string( max_body_size_ ) +
                                              " bytes" ) );
        // The library reads the whole body into memory before it replies.
        // Closing the buffer of a far too large body makes it stop reading;
        // that caller gets no reply.
        if ( headers.content_length() / max_excess_factor > max_body_size_ )
            message.body().streambuf().close( std::ios_base::out );
        return;
    }
    message.extract_utf8string( true ).then(
        [this, message]( pplx::task<std::string> const& read )
        {
            try
            {
                auto request = received_request{ message, {}, read.get() };
                request.path = decoded_path( message.request_uri() );
                dispatch( std::move( request ) );
            }
            catch ( std::exception const& failure )
            {
                reply_with( message,
                            bad_request( "bad-request", failure.what() ) );
            }
        } );
}

auto listener::dispatch( received_request request ) -> void
{
    auto path_is_known = false;
    for ( auto const& each : routes_ )
    {
        if ( !matches_path( each, request.path ) )
            continue;
        path_is_known = true;
        if ( !each.method.empty() && each.method != request.message.method() )
            continue;
        each.handle( std::move( request ) );
        return;
    }
    auto const end =
        path_is_known
            ? bad_request( "wrong-method", "the path has no such method" )
            : bad_request( "unknown-path", "see docs/CALLERS.md for paths" );
    reply_with( request.message, end );
}

}
