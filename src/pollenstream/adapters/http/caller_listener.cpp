#include <pollenstream/adapters/http/answer_sinks.hpp>
#include <pollenstream/adapters/http/caller_listener.hpp>
#include <pollenstream/adapters/http/chat_request.hpp>
#include <pollenstream/adapters/http/problem.hpp>

#include <cpprest/base_uri.h>
#include <cpprest/http_msg.h>

#include <charconv>
#include <optional>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::http::methods;
using web::json::value;

constexpr auto workspace_header = "Pollenstream-Workspace";
constexpr auto profile_header = "Pollenstream-Profile";
constexpr auto deadline_header = "Pollenstream-Deadline-Ms";
constexpr auto ticket_header = "Pollenstream-Ticket";
constexpr auto key_header = "Idempotency-Key";
constexpr auto max_name_length = std::size_t{ 200 };

/// The parsed headers that all calls share.
struct call_headers
{
    core::workspace_id workspace;
    core::profile_id profile;
    std::optional<core::duration> time_limit;
};

auto read_deadline( std::string const& digits )
    -> core::result<std::optional<core::duration>>
{
    if ( digits.empty() )
        return std::optional<core::duration>{};
    auto milliseconds = std::int64_t{ 0 };
    auto const* const end = digits.data() + digits.size();
    auto const [stopped, status] =
        std::from_chars( digits.data(), end, milliseconds );
    constexpr auto day = std::int64_t{ 24 } * 60 * 60 * 1000;
    auto const is_valid = status == std::errc{} && stopped == end &&
                          milliseconds > 0 && milliseconds <= day;
    if ( !is_valid )
        return core::error{ core::error_code::malformed,
                            std::string( deadline_header ) +
                                " is not a number of milliseconds" };
    return std::optional<core::duration>(
        std::chrono::milliseconds( milliseconds ) );
}

auto read_headers( received_request const& request )
    -> core::result<call_headers>
{
    auto const workspace = request.header( workspace_header );
    auto const profile = request.header( profile_header );
    for ( auto const& [name, text] : { std::pair( workspace_header, workspace ),
                                       std::pair( profile_header, profile ) } )
    {
        if ( text.empty() || text.size() > max_name_length )
            return core::error{ core::error_code::malformed,
                                std::string( name ) +
                                    " is missing or too long" };
    }
    auto const deadline = read_deadline( request.header( deadline_header ) );
    if ( !deadline )
        return deadline.error();
    return call_headers{ core::workspace_id( workspace ),
                         core::profile_id( profile ), deadline.value() };
}

auto refuse( received_request const& request, core::error const& why ) -> void
{
    request.reply->send(
        problem_reply( bad_request( "bad-request", why.detail ) ) );
}

auto reply_to_call( reply_channel& reply, state::call_outcome const& outcome )
    -> void
{
    if ( outcome.status != ports::answer_status::complete )
    {
        auto end = bad_request( outcome.reason, outcome.detail );
        end.status = outcome.status;
        reply.send( problem_reply( end ) );
        return;
    }
    auto whole = exchange::whole_answer{};
    whole.status = outcome.reply.status;
    if ( !outcome.reply.content_type.empty() )
        whole.headers = { { "Content-Type", outcome.reply.content_type } };
    whole.body = outcome.reply.body;
    reply.send( std::move( whole ) );
}

auto path_after( received_request const& request, std::size_t skipped_parts )
    -> std::string
{
    auto path = std::string{};
    for ( auto i = skipped_parts; i < request.path.size(); ++i )
        path += "/" + web::uri::encode_data_string( request.path[i] );
    if ( !request.query_text.empty() )
        path += "?" + request.query_text;
    return path.empty() ? "/" : path;
}

}

caller_listener::caller_listener( core::address const& at,
                                  caller_limits const& limits,
                                  sessions::gateway& gateway,
                                  system::blocking_pool& blocking,
                                  std::shared_ptr<listening_loop> loop )
    : gateway_( gateway ), blocking_( blocking ),
      listener_( at, limits.max_body_size, routes(), std::move( loop ) )
{
}

auto caller_listener::open() -> void
{
    listener_.open();
}

auto caller_listener::close() -> void
{
    listener_.close();
}

auto caller_listener::routes() -> std::vector<route>
{
    return {
        { methods::POST,
          { "v1", "chat", "completions" },
          false,
          [this]( received_request r )
          {
              on_chat( std::move( r ) );
          } },
        { methods::GET,
          { "v1", "entry" },
          false,
          [this]( received_request r )
          {
              on_entry( std::move( r ) );
          } },
        { std::string{},
          { "v1", "services" },
          true,
          [this]( received_request r )
          {
              on_service( std::move( r ) );
          } },
    };
}

auto caller_listener::on_chat( received_request request ) -> void
{
    auto const headers = read_headers( request );
    if ( !headers )
    {
        refuse( request, headers.error() );
        return;
    }
    auto chat = read_chat_request( request.body );
    if ( !chat )
    {
        refuse( request, chat.error() );
        return;
    }
    auto& chat_body = chat.value();
    auto session_request = sessions::request{};
    session_request.workspace = headers.value().workspace;
    session_request.prompt =
        std::make_shared<std::string const>( std::move( chat_body.prompt ) );
    session_request.max_output = chat_body.max_tokens;
    session_request.time_limit = headers.value().time_limit;
    auto sink = chat_body.stream
                    ? make_streaming_sink( request.reply, chat_body.model )
                    : make_buffered_sink( request.reply, chat_body.model );
    gateway_.answer( headers.value().profile, std::move( session_request ),
                     std::move( sink ) );
}

auto caller_listener::on_entry( received_request request ) -> void
{
    auto const entry =
        gateway_.entry( core::workspace_id( request.query( "workspace" ) ),
                        core::data_centre_id( request.query( "place" ) ) );
    auto addresses = value::array( entry.addresses.size() );
    for ( auto i = std::size_t{ 0 }; i < entry.addresses.size(); ++i )
        addresses[i] = value::string( core::to_string( entry.addresses[i] ) );
    auto json = value::object();
    json["addresses"] = std::move( addresses );
    json["keep_ms"] =
        value::number( core::milliseconds_of( entry.cache_time ) );
    json["ticket_prefix"] = value::string( entry.ticket_prefix );
    request.reply->send_json( json );
}

auto caller_listener::on_service( received_request request ) -> void
{
    constexpr auto parts_before_service = std::size_t{ 2 };
    if ( request.path.size() <= parts_before_service )
    {
        refuse( request,
                { core::error_code::malformed, "the path names no service" } );
        return;
    }
    auto const headers = read_headers( request );
    if ( !headers )
    {
        refuse( request, headers.error() );
        return;
    }
    auto service_request = sessions::plain_call{};
    service_request.service =
        core::service_id( request.path[parts_before_service] );
    service_request.profile = headers.value().profile;
    service_request.workspace = headers.value().workspace;
    auto const ticket = request.header( ticket_header );
    if ( !ticket.empty() )
        service_request.ticket = ticket;
    service_request.call.method = request.method;
    service_request.call.path = path_after( request, parts_before_service + 1 );
    service_request.call.content_type = request.header( "Content-Type" );
    service_request.call.body = std::move( request.body );
    service_request.call.key =
        core::idempotency_key( request.header( key_header ) );
    service_request.call.time_left =
        headers.value().time_limit.value_or( core::duration( 0 ) );
    auto const reply = request.reply;
    auto const run = [this, service_request, reply]
    {
        gateway_.call( service_request,
                       [reply]( state::call_outcome const& outcome )
                       {
                           reply_to_call( *reply, outcome );
                       } );
    };
    // A ticket may name another instance; the call then blocks until that
    // instance answers.
    if ( service_request.ticket )
        blocking_.post( run );
    else
        run();
}

}
