#include "caller.hpp"

#include "exit_status.hpp"
#include <pollenstream/adapters/http/bounded_body.hpp>
#include <pollenstream/adapters/http/data_line_splitter.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/read_available.hpp>

#include <cpprest/http_client.h>

#include <chrono>
#include <iostream>
#include <optional>

namespace apps::tool
{

namespace
{

namespace core = pollenstream::core;
namespace http = pollenstream::adapters::http;
using web::json::value;
using steady = std::chrono::steady_clock;

constexpr auto entry_timeout = std::chrono::seconds( 5 );
constexpr auto answer_timeout = std::chrono::hours( 1 );
constexpr auto longest_line = std::size_t{ 1024 } * 1024;
constexpr auto read_size = std::size_t{ 16 } * 1024;
/// Limit on the text of one answer.
constexpr auto max_text_bytes = std::size_t{ 64 } * 1024 * 1024;
/// Limit on the text of an answer that reports an error.
constexpr auto max_error_bytes = std::size_t{ 64 } * 1024;

auto client_for( core::address const& at, std::chrono::seconds timeout )
    -> web::http::client::http_client
{
    auto config = web::http::client::http_client_config{};
    config.set_timeout( timeout );
    return web::http::client::http_client( "http://" + core::to_string( at ),
                                           config );
}

auto entry_json( caller_options const& options ) -> value
{
    auto builder = web::uri_builder( "/v1/entry" );
    builder.append_query( "workspace", options.workspace );
    builder.append_query( "place", options.data_centre );
    auto client = client_for( options.entry, entry_timeout );
    auto message = web::http::http_request( web::http::methods::GET );
    message.set_request_uri( builder.to_uri() );
    return value::parse(
        http::request_and_collect( client, message ).get().body );
}

auto headers_of( caller_options const& options ) -> web::http::http_headers
{
    auto headers = web::http::http_headers{};
    headers.add( "Pollenstream-Workspace", options.workspace );
    headers.add( "Pollenstream-Profile", options.profile );
    return headers;
}

auto chat_body( std::string const& prompt ) -> value
{
    auto message = value::object();
    message["role"] = value::string( "user" );
    message["content"] = value::string( prompt );
    auto body = value::object();
    body["model"] = value::string( "any" );
    body["stream"] = value::boolean( true );
    body["messages"] = value::array( { message } );
    return body;
}

/// What was seen of one streamed answer.
struct seen_answer
{
    std::string text;
    std::optional<steady::time_point> first;
    bool complete{ false };
    std::string problem;
    std::int64_t prompt_tokens{ 0 };
    std::int64_t output_tokens{ 0 };
};

auto take_usage( value const& chunk, seen_answer& into ) -> void
{
    if ( !chunk.has_object_field( "usage" ) )
        return;
    auto usage = http::json_fields( chunk.at( "usage" ), "$.usage" );
    into.prompt_tokens = usage.integer( "prompt_tokens", 0 );
    into.output_tokens = usage.integer( "completion_tokens", 0 );
}

auto take_line( std::string const& line, bool prints, seen_answer& into )
    -> void
{
    if ( line == "[DONE]" )
    {
        into.complete = true;
        return;
    }
    auto const chunk = http::parse_json( line );
    if ( !chunk )
        return;
    if ( !chunk.value().has_array_field( "choices" ) )
    {
        into.problem = line;
        return;
    }
    take_usage( chunk.value(), into );
    auto const& choice = chunk.value().at( "choices" ).at( 0 );
    auto delta = http::json_fields( choice.at( "delta" ), "$.delta" );
    auto const text = delta.text( "content", {} );
    if ( text.empty() )
        return;
    if ( !into.first )
        into.first = steady::now();
    into.text += text;
    if ( prints )
        std::cout << text << std::flush;
}

/// The first `max_bytes` of a body at most.
auto read_text( web::http::http_response const& reply, std::size_t max_bytes )
    -> std::string
{
    auto body = reply.body().streambuf();
    auto bytes = std::vector<std::uint8_t>( max_bytes );
    auto used = std::size_t{ 0 };
    while ( used < max_bytes )
    {
        auto const count =
            http::read_available( body, bytes.data() + used, max_bytes - used )
                .get();
        if ( count == 0 )
            break;
        used += count;
    }
    return { bytes.begin(),
             bytes.begin() + static_cast<std::ptrdiff_t>( used ) };
}

auto read_stream( web::http::http_response const& reply, bool prints )
    -> seen_answer
{
    auto seen = seen_answer{};
    auto lines = http::data_line_splitter( longest_line );
    auto body = reply.body().streambuf();
    auto bytes = std::vector<std::uint8_t>( read_size );
    for ( ;; )
    {
        auto const count =
            http::read_available( body, bytes.data(), bytes.size() ).get();
        if ( count == 0 )
            return seen;
        auto const part = std::string_view(
            reinterpret_cast<char const*>( bytes.data() ), count );
        for ( auto const& line : lines.add( part ) )
            take_line( line, prints, seen );
        if ( !lines.has_failed() && seen.text.size() <= max_text_bytes )
            continue;
        seen.problem = "the answer is too large";
        return seen;
    }
}

auto seconds_between( steady::time_point a, steady::time_point b ) -> double
{
    return std::chrono::duration<double>( b - a ).count();
}

auto print_summary( caller_options const& options,
                    seen_answer const& seen,
                    steady::time_point started ) -> void
{
    auto const first =
        seen.first ? seconds_between( started, *seen.first ) : -1.0;
    auto const total = seconds_between( started, steady::now() );
    if ( options.json )
    {
        auto json = value::object();
        json["complete"] = value::boolean( seen.complete );
        json["prompt_tokens"] = value::number( seen.prompt_tokens );
        json["output_tokens"] = value::number( seen.output_tokens );
        json["first_token_seconds"] = value::number( first );
        json["total_seconds"] = value::number( total );
        json["text"] = value::string( seen.text );
        json["problem"] = value::string( seen.problem );
        std::cout << json.serialize() << '\n';
        return;
    }
    std::cout << "\n-- " << ( seen.complete ? "complete" : "NOT complete" )
              << ": prompt_tokens=" << seen.prompt_tokens
              << " output_tokens=" << seen.output_tokens
              << " first_token_s=" << first << " total_s=" << total << '\n';
    if ( !seen.problem.empty() )
        std::cout << seen.problem << '\n';
}

auto send_to( core::address const& at,
              caller_options const& options,
              std::string const& prompt ) -> int
{
    auto client = client_for( at, answer_timeout );
    auto message = web::http::http_request( web::http::methods::POST );
    message.set_request_uri( "/v1/chat/completions" );
    message.headers() = headers_of( options );
    message.set_body( chat_body( prompt ) );
    auto const started = steady::now();
    auto reply = client.request( message ).get();
    if ( reply.status_code() != web::http::status_codes::OK )
    {
        std::cerr << read_text( reply, max_error_bytes ) << '\n';
        return exit_refused;
    }
    auto const seen = read_stream( reply, !options.json );
    print_summary( options, seen, started );
    return seen.complete ? exit_ok : exit_failed;
}

}

auto ask_entry( caller_options const& options ) -> std::vector<core::address>
{
    auto addresses = std::vector<core::address>{};
    auto const entry = entry_json( options );
    for ( auto const& each : entry.at( "addresses" ).as_array() )
    {
        auto const parsed = core::parse_address( each.as_string() );
        if ( parsed )
            addresses.push_back( parsed.value() );
    }
    return addresses;
}

auto ask_ticket_prefix( caller_options const& options ) -> std::string
{
    return entry_json( options ).at( "ticket_prefix" ).as_string();
}

auto send_prompt( caller_options const& options, std::string const& prompt )
    -> int
{
    for ( auto const& at : ask_entry( options ) )
    {
        try
        {
            return send_to( at, options, prompt );
        }
        catch ( web::http::http_exception const& failure )
        {
            // Only a connection that was never made may be tried elsewhere.
            auto const is_unreached =
                failure.error_code() == std::errc::host_unreachable;
            std::cerr << core::to_string( at ) << ": " << failure.what()
                      << '\n';
            if ( !is_unreached )
                return exit_failed;
        }
    }
    std::cerr << "no entry address answers; ask GET /v1/entry of another "
                 "instance\n";
    return exit_unreachable;
}

auto call_service( caller_options const& options,
                   std::string const& service,
                   std::string const& path,
                   std::string const& body,
                   std::string const& key ) -> int
{
    auto const addresses = ask_entry( options );
    if ( addresses.empty() )
        return exit_unreachable;
    auto client = client_for( addresses.front(), answer_timeout );
    auto message = web::http::http_request( web::http::methods::POST );
    message.set_request_uri( "/v1/services/" + service + path );
    message.headers() = headers_of( options );
    if ( !key.empty() )
        message.headers().add( "Pollenstream-Ticket",
                               ask_ticket_prefix( options ) + key );
    message.set_body( body, "application/json" );
    auto const reply = http::request_and_collect( client, message ).get();
    std::cout << reply.body << '\n';
    return reply.response.status_code() == web::http::status_codes::OK
               ? exit_ok
               : exit_refused;
}

}
