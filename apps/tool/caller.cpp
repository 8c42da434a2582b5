#include "caller.hpp"

#include "exit_status.hpp"
#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/adapters/http/data_line_splitter.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>

#include <cpprest/base_uri.h>
#include <cpprest/http_msg.h>

#include <chrono>
#include <future>
#include <iostream>
#include <optional>
#include <stdexcept>

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
/// Limit on the text of one answer.
constexpr auto max_text_bytes = std::size_t{ 64 } * 1024 * 1024;
/// Limit on the text of an answer that reports an error.
constexpr auto max_error_bytes = std::size_t{ 64 } * 1024;

auto entry_json( caller_options const& options ) -> value
{
    auto builder = web::uri_builder( "/v1/entry" );
    builder.append_query( "workspace", options.workspace );
    builder.append_query( "place", options.data_centre );
    auto request = http::call_request{};
    request.target = builder.to_string();
    auto const answer = http::call_client( entry_timeout )
                            .collect_and_wait( options.entry, request );
    if ( !answer )
        throw std::runtime_error( answer.error().detail );
    return value::parse( answer.value().body );
}

auto headers_of( caller_options const& options )
    -> pollenstream::exchange::header_list
{
    return { { "Content-Type", "application/json" },
             { "Pollenstream-Workspace", options.workspace },
             { "Pollenstream-Profile", options.profile } };
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

/// Status, body and end of the answer to one prompt.
struct prompt_result
{
    http::call_end end;
    int status{ 0 };
    std::string error_text; ///< body of an answer that reports an error
    seen_answer seen;
};

/// Prints a streamed answer as it arrives.
class prompt_listener : public http::call_listener
{
public:
    explicit prompt_listener( bool prints ) : prints_( prints ) {}

    auto on_head( http::call_head const& head ) -> void override
    {
        result_.status = head.status;
    }
    auto on_bytes( std::string_view bytes ) -> void override
    {
        if ( result_.status == web::http::status_codes::OK )
            return read_events( bytes );
        auto const room = max_error_bytes - result_.error_text.size();
        result_.error_text += bytes.substr( 0, room );
        if ( result_.error_text.size() == max_error_bytes )
            throw std::length_error( "the reason is too long" );
    }
    auto on_end( http::call_end const& end ) -> void override
    {
        result_.end = end;
        done_.set_value( std::move( result_ ) );
    }
    auto wait() -> prompt_result
    {
        return done_.get_future().get();
    }

private:
    auto read_events( std::string_view bytes ) -> void
    {
        for ( auto const& line : lines_.add( bytes ) )
            take_line( line, prints_, result_.seen );
        if ( !lines_.has_failed() &&
             result_.seen.text.size() <= max_text_bytes )
            return;
        result_.seen.problem = "the answer is too large";
        throw std::length_error( result_.seen.problem );
    }

    bool prints_;
    http::data_line_splitter lines_{ longest_line };
    prompt_result result_;
    std::promise<prompt_result> done_;
};

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

/// Returns no status if no connection was made.
auto send_to( core::address const& at,
              caller_options const& options,
              std::string const& prompt ) -> std::optional<int>
{
    auto request = http::call_request{};
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = headers_of( options );
    request.body = chat_body( prompt ).serialize();
    auto const listener = std::make_shared<prompt_listener>( !options.json );
    auto const started = steady::now();
    http::call_client( answer_timeout ).send( at, request, listener );
    auto const result = listener->wait();
    auto const is_answered = result.status != 0;
    if ( !is_answered )
    {
        auto const why = result.end.status.error();
        std::cerr << core::to_string( at ) << ": " << why.detail << '\n';
        // Only a connection that was never made may be tried elsewhere.
        if ( why.code == core::error_code::unreachable )
            return std::nullopt;
        return exit_failed;
    }
    if ( result.status != web::http::status_codes::OK )
    {
        std::cerr << result.error_text << '\n';
        return exit_refused;
    }
    print_summary( options, result.seen, started );
    return result.seen.complete ? exit_ok : exit_failed;
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
        if ( auto const status = send_to( at, options, prompt ) )
            return *status;
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
    auto request = http::call_request{};
    request.method = "POST";
    request.target = "/v1/services/" + service + path;
    request.headers = headers_of( options );
    if ( !key.empty() )
        request.headers.push_back(
            { "Pollenstream-Ticket", ask_ticket_prefix( options ) + key } );
    request.body = body;
    auto const answer = http::call_client( answer_timeout )
                            .collect_and_wait( addresses.front(), request );
    if ( !answer )
        throw std::runtime_error( answer.error().detail );
    // Replies of an instance have a length.
    if ( answer.value().is_delimited_by_close )
        throw std::runtime_error( "the reply may have been cut short" );
    std::cout << answer.value().body << '\n';
    return answer.value().head.status == web::http::status_codes::OK
               ? exit_ok
               : exit_refused;
}

}
