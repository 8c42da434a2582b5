#include "platform_server.hpp"

#include "real_time.hpp"
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/core/hash.hpp>

#include <cpprest/http_msg.h>

#include <thread>
#include <utility>

namespace standins
{

namespace
{

using namespace std::chrono_literals;
using web::http::methods;
using web::http::status_codes;
using web::json::value;

constexpr auto largest_body = std::size_t{ 64 } * 1024 * 1024;
/// How long a caller waits for an answer that is lost.
constexpr auto lost_answer_delay = 4s;

auto key_value_json( ports::key_value const& read ) -> value
{
    auto json = value::object();
    json["value"] = value::string( read.value );
    json["version"] = value::number( read.version.count() );
    return json;
}

auto reply_status( http::reply_channel& reply,
                   int status,
                   std::string const& detail ) -> void
{
    reply.send( { status, {}, detail } );
}

auto reply_error( http::reply_channel& reply, core::error const& why ) -> void
{
    switch ( why.code )
    {
    case core::error_code::conflict:
        reply_status( reply, status_codes::Conflict, why.detail );
        return;
    case core::error_code::timed_out:
        std::this_thread::sleep_for( lost_answer_delay );
        reply_status( reply, status_codes::GatewayTimeout, why.detail );
        return;
    case core::error_code::too_large:
        reply_status( reply, status_codes::RequestEntityTooLarge, why.detail );
        return;
    default:
        reply_status( reply, status_codes::ServiceUnavailable, why.detail );
    }
}

auto key_of( http::received_request const& request ) -> std::string
{
    auto key = std::string{};
    for ( auto i = std::size_t{ 1 }; i < request.path.size(); ++i )
        key += ( i > 1 ? "/" : "" ) + request.path[i];
    return key;
}

auto is_on( http::received_request const& request, std::string const& kind )
    -> bool
{
    return request.query( kind ) == "yes";
}

}

store_server::store_server( core::address const& at,
                            core::address const& control )
    : listener_( at, largest_body, routes() ),
      control_( control, largest_body, control_routes() )
{
}

auto store_server::open() -> void
{
    listener_.open();
    control_.open();
}

auto store_server::close() -> void
{
    listener_.close();
    control_.close();
}

auto store_server::routes() -> std::vector<http::route>
{
    using request = http::received_request;
    return {
        { methods::GET,
          { "kv" },
          true,
          [this]( request const& r )
          {
              on_get( r );
          } },
        { methods::PUT,
          { "kv" },
          true,
          [this]( request const& r )
          {
              on_put( r );
          } },
    };
}

auto store_server::control_routes() -> std::vector<http::route>
{
    using request = http::received_request;
    return {
        { methods::POST,
          { "fault" },
          false,
          [this]( request const& r )
          {
              on_fault( r );
          } },
        { methods::GET,
          { "counts" },
          false,
          [this]( request const& r )
          {
              on_counts( r );
          } },
    };
}

auto store_server::on_get( http::received_request const& request ) -> void
{
    auto const key = key_of( request );
    auto const wait = request.query( "wait_ms" );
    if ( wait.empty() )
    {
        auto const read = model_.get( key );
        if ( read )
            request.reply->send_json( key_value_json( read.value() ) );
        else
            reply_error( *request.reply, read.error() );
        return;
    }
    // A watch waits on a thread of its own, so that many of them do not use
    // up the listener's.
    auto const known =
        ports::key_version( std::atoll( request.query( "known" ).c_str() ) );
    auto const limit = std::chrono::milliseconds( std::atoll( wait.c_str() ) );
    std::thread(
        [this, key, known, limit, reply = request.reply]
        {
            auto const read = model_.watch( key, known, limit );
            if ( read )
                reply->send_json( key_value_json( read.value() ) );
            else
                reply_error( *reply, read.error() );
        } )
        .detach();
}

auto store_server::on_put( http::received_request const& request ) -> void
{
    auto const json = http::parse_json( request.body );
    if ( !json )
    {
        reply_status( *request.reply, status_codes::BadRequest,
                      json.error().detail );
        return;
    }
    auto fields = http::json_fields( json.value(), "$" );
    auto const expected = ports::key_version( fields.integer( "expected", 0 ) );
    auto const text = fields.text( "value", {} );
    auto const written =
        model_.compare_and_swap( key_of( request ), expected, text );
    if ( written )
        request.reply->send_json( key_value_json( { {}, written.value() } ) );
    else
        reply_error( *request.reply, written.error() );
}

auto store_server::on_fault( http::received_request const& request ) -> void
{
    auto faults = store_faults{};
    faults.outage = is_on( request, "outage" );
    faults.lose_answers = is_on( request, "lose_answers" );
    faults.watches_dead = is_on( request, "watches_dead" );
    model_.set_faults( faults );
    request.reply->send_json( value::object() );
}

auto store_server::on_counts( http::received_request const& request ) -> void
{
    auto json = value::object();
    json["reads"] = value::number( model_.reads() );
    json["writes"] = value::number( model_.writes() );
    request.reply->send_json( json );
}

list_server::list_server( core::address const& at, core::duration lag )
    : lag_( lag ), listener_( at, largest_body, routes() )
{
}

auto list_server::open() -> void
{
    listener_.open();
}

auto list_server::close() -> void
{
    listener_.close();
}

auto list_server::routes() -> std::vector<http::route>
{
    using request = http::received_request;
    return {
        { methods::GET,
          { "instances" },
          false,
          [this]( request const& r )
          {
              on_get( r );
          } },
        { methods::PUT,
          { "instances" },
          false,
          [this]( request const& r )
          {
              on_put( r );
          } },
    };
}

auto list_server::on_get( http::received_request const& request ) -> void
{
    auto const seen_at = real_now() - lag_;
    auto const lock = std::scoped_lock( mutex_ );
    while ( versions_.size() > 1 && versions_[1].at <= seen_at )
        versions_.pop_front();
    auto const is_known = !versions_.empty() && versions_.front().at <= seen_at;
    auto const& content = is_known ? versions_.front().content : nothing_;
    auto const tag = '"' + core::content_hash( content.serialize() ) + '"';
    auto reply = http::json_reply( status_codes::OK, content );
    if ( request.header( "If-None-Match" ) == tag )
        reply = { status_codes::NotModified, {}, {} };
    reply.headers.push_back( { "ETag", tag } );
    request.reply->send( reply );
}

auto list_server::on_put( http::received_request const& request ) -> void
{
    auto const json = http::parse_json( request.body );
    if ( !json )
    {
        reply_status( *request.reply, status_codes::BadRequest,
                      json.error().detail );
        return;
    }
    auto const lock = std::scoped_lock( mutex_ );
    versions_.push_back( { real_now(), json.value() } );
    request.reply->send_json( value::object() );
}

service_server::service_server( core::address const& at,
                                core::address const& control,
                                core::duration work )
    : work_( work ), listener_( at, largest_body, routes() ),
      control_( control, largest_body, control_routes() )
{
}

auto service_server::open() -> void
{
    listener_.open();
    control_.open();
}

auto service_server::close() -> void
{
    listener_.close();
    control_.close();
}

auto service_server::routes() -> std::vector<http::route>
{
    return { { std::string{},
               {},
               true,
               [this]( http::received_request const& r )
               {
                   on_call( r );
               } } };
}

auto service_server::control_routes() -> std::vector<http::route>
{
    return { { methods::GET,
               { "runs" },
               false,
               [this]( http::received_request const& r )
               {
                   on_runs( r );
               } } };
}

auto service_server::on_call( http::received_request const& request ) -> void
{
    auto const key = request.header( "Idempotency-Key" );
    auto const& name = key.empty() ? request.body : key;
    auto run = std::int64_t{ 0 };
    {
        auto const lock = std::scoped_lock( mutex_ );
        run = ++runs_[name];
    }
    std::this_thread::sleep_for( work_ );
    auto json = value::object();
    json["key"] = value::string( name );
    json["run"] = value::number( run );
    request.reply->send_json( json );
}

auto service_server::on_runs( http::received_request const& request ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto json = value::object();
    for ( auto const& [key, count] : runs_ )
        json[key] = value::number( count );
    request.reply->send_json( json );
}

}
