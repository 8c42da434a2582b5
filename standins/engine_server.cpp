#include "engine_server.hpp"

#include "real_time.hpp"
#include <pollenstream/adapters/http/engine_codec.hpp>
#include <pollenstream/adapters/http/json_fields.hpp>
#include <pollenstream/adapters/http/problem.hpp>

#include <cpprest/http_msg.h>

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
/// How long an ended stream can still be resumed.
constexpr auto keep_ended = core::duration( 30s );
constexpr auto idle_wait = 50ms;

auto reply_error( http::received_request const& request,
                  core::error const& why ) -> void
{
    auto const not_found = why.code == core::error_code::not_found;
    auto const malformed = why.code == core::error_code::malformed;
    auto const status = not_found   ? status_codes::NotFound
                        : malformed ? status_codes::BadRequest
                                    : status_codes::ServiceUnavailable;
    request.reply->send( { status, {}, why.detail } );
}

auto line_of( ports::engine_event const& event ) -> std::string
{
    return "data: " + http::to_json( event ).serialize() + "\n\n";
}

}

engine_server::engine_server( core::address const& at,
                              core::address const& control,
                              engine_settings settings )
    : model_( settings ), listener_( at, largest_body, routes() ),
      control_( control, largest_body, control_routes() )
{
}

engine_server::~engine_server()
{
    close();
}

auto engine_server::open() -> void
{
    driver_ = std::thread(
        [this]
        {
            drive();
        } );
    control_.open();
    listener_.open();
}

auto engine_server::close() -> void
{
    {
        auto const lock = std::scoped_lock( mutex_ );
        stopping_ = true;
        wake_.notify_all();
    }
    if ( driver_.joinable() )
        driver_.join();
    listener_.close();
    control_.close();
}

auto engine_server::routes() -> std::vector<http::route>
{
    auto const streams = std::string( "streams" );
    auto const reservations = std::string( "reservations" );
    using request = http::received_request;
    return {
        { methods::POST,
          { "v1", streams },
          false,
          [this]( request r )
          {
              on_open( std::move( r ) );
          } },
        { methods::GET,
          { "v1", streams },
          true,
          [this]( request r )
          {
              on_resume( std::move( r ) );
          } },
        { methods::DEL,
          { "v1", streams },
          true,
          [this]( request r )
          {
              on_cancel( std::move( r ) );
          } },
        { methods::POST,
          { "v1", reservations },
          false,
          [this]( request r )
          {
              on_reserve( std::move( r ) );
          } },
        { methods::POST,
          { "v1", reservations },
          true,
          [this]( request r )
          {
              on_fill( std::move( r ) );
          } },
        { methods::DEL,
          { "v1", reservations },
          true,
          [this]( request r )
          {
              on_release( std::move( r ) );
          } },
        { methods::GET,
          { "v1", "load" },
          false,
          [this]( request r )
          {
              on_load( std::move( r ) );
          } },
        { methods::GET,
          { "v1", "held" },
          false,
          [this]( request r )
          {
              on_held( std::move( r ) );
          } },
    };
}

auto engine_server::control_routes() -> std::vector<http::route>
{
    using request = http::received_request;
    return {
        { methods::POST,
          { "fault" },
          false,
          [this]( request r )
          {
              on_fault( std::move( r ) );
          } },
        { methods::GET,
          { "counts" },
          false,
          [this]( request r )
          {
              on_counts( std::move( r ) );
          } },
    };
}

auto engine_server::drive() -> void
{
    auto lock = std::unique_lock( mutex_ );
    while ( !stopping_ )
    {
        deliver( model_.advance( real_now() ) );
        forget_old();
        auto const next = model_.next_event();
        auto const wait =
            next ? *next - real_now() : core::duration( idle_wait );
        wake_.wait_for( lock, std::max( core::duration( 0 ), wait ) );
    }
}

auto engine_server::deliver( std::vector<engine_output> const& out ) -> void
{
    for ( auto const& each : out )
    {
        if ( each.what == engine_output::kind::filled )
        {
            auto const waiting = filling_.find( each.reservation );
            if ( waiting == filling_.end() )
                continue;
            waiting->second( true );
            filling_.erase( waiting );
            continue;
        }
        auto const at = records_.find( each.request );
        if ( at == records_.end() )
            continue;
        auto& to = at->second;
        if ( each.what == engine_output::kind::token )
        {
            ++to.written;
            send_from( to, each.position, 1 );
            continue;
        }
        to.ended = true;
        to.expired = each.what == engine_output::kind::expired;
        to.kept_until = real_now() + keep_ended;
        send_end( to );
    }
}

auto engine_server::send_from( record& to,
                               std::int64_t position,
                               std::size_t count ) -> void
{
    if ( !to.reader || has_fault( "silent" ) )
        return;
    auto text = std::string{};
    for ( auto i = std::size_t{ 0 }; i < count; ++i )
    {
        auto event = ports::engine_event{};
        event.request = to.request;
        event.attempt = to.attempt;
        event.position = position + static_cast<std::int64_t>( i );
        event.text = token_text( to.hash, event.position );
        if ( event.position == to.first )
            event.load = model_.load( real_now() );
        text += line_of( event );
        if ( has_fault( "repeat" ) )
            text += line_of( event );
    }
    to.reader->write( text );
    if ( !has_fault( "cut" ) )
        return;
    to.reader->end_stream();
    to.reader.reset();
}

auto engine_server::send_end( record& to ) -> void
{
    if ( !to.reader || has_fault( "silent" ) )
        return;
    if ( !to.expired )
    {
        auto event = ports::engine_event{};
        event.request = to.request;
        event.attempt = to.attempt;
        event.position = to.first + to.written;
        event.last = true;
        event.load = model_.load( real_now() );
        to.reader->write( line_of( event ) );
    }
    to.reader->end_stream();
    to.reader.reset();
}

auto engine_server::attach( record& to, http::received_request const& request )
    -> void
{
    to.reader = request.reply;
    to.reader->start_stream( status_codes::OK,
                             { { "Content-Type", "text/event-stream" } } );
}

auto engine_server::on_open( http::received_request request ) -> void
{
    auto const json = http::parse_json( request.body );
    auto const wanted =
        json ? http::read_engine_request( json.value() )
             : core::result<ports::engine_request>( json.error() );
    auto const lock = std::scoped_lock( mutex_ );
    if ( !wanted || has_fault( "refuse" ) )
    {
        auto const why =
            wanted ? core::error{ core::error_code::refused, "told to refuse" }
                   : wanted.error();
        reply_error( request, why );
        return;
    }
    auto const& asked = wanted.value();
    auto const status = model_.submit( asked, real_now() );
    if ( !status )
    {
        reply_error( request, status.error() );
        return;
    }
    ++opened_;
    auto& to = records_[asked.request];
    to = record{ asked.request, asked.attempt, prompt_hash( *asked.prompt ),
                 asked.from_position };
    attach( to, request );
    wake_.notify_all();
}

auto engine_server::on_resume( http::received_request request ) -> void
{
    auto const id = core::request_id( request.path.back() );
    auto const from = std::atoll( request.query( "from" ).c_str() );
    auto const lock = std::scoped_lock( mutex_ );
    auto const at = records_.find( id );
    if ( at == records_.end() || from < at->second.first )
    {
        reply_error( request,
                     { core::error_code::not_found, "no such stream" } );
        return;
    }
    ++resumed_;
    auto& to = at->second;
    attach( to, request );
    auto const missed = to.first + to.written - from;
    if ( missed > 0 )
        send_from( to, from, static_cast<std::size_t>( missed ) );
    if ( to.ended )
        send_end( to );
}

auto engine_server::on_cancel( http::received_request request ) -> void
{
    auto const id = core::request_id( request.path.back() );
    auto const lock = std::scoped_lock( mutex_ );
    model_.cancel( id, real_now() );
    auto const at = records_.find( id );
    if ( at != records_.end() )
    {
        ++cancelled_;
        if ( at->second.reader )
            at->second.reader->end_stream();
        records_.erase( at );
    }
    wake_.notify_all();
    request.reply->send_json( value::object() );
}

auto engine_server::on_reserve( http::received_request request ) -> void
{
    auto const json = http::parse_json( request.body );
    auto const wanted =
        json ? http::read_reservation_request( json.value() )
             : core::result<ports::reservation_request>( json.error() );
    auto const lock = std::scoped_lock( mutex_ );
    auto const status = wanted ? model_.reserve( wanted.value(), real_now() )
                               : core::result<void>( wanted.error() );
    if ( !status )
        reply_error( request, status.error() );
    else
        request.reply->send_json( value::object() );
}

auto engine_server::on_release( http::received_request request ) -> void
{
    auto const id = core::reservation_id( request.path.back() );
    auto const lock = std::scoped_lock( mutex_ );
    model_.release( id, real_now() );
    auto const waiting = filling_.find( id );
    if ( waiting != filling_.end() )
    {
        waiting->second( false );
        filling_.erase( waiting );
    }
    wake_.notify_all();
    request.reply->send_json( value::object() );
}

auto engine_server::on_fill( http::received_request request ) -> void
{
    constexpr auto reservation_part = std::size_t{ 2 };
    constexpr auto parts = std::size_t{ 4 };
    auto const json = http::parse_json( request.body );
    if ( request.path.size() != parts || !json )
    {
        reply_error( request, { core::error_code::malformed, "not a fill" } );
        return;
    }
    auto fields = http::json_fields( json.value(), "$" );
    auto const tokens = fields.integer( "tokens", 0 );
    auto const id = core::reservation_id( request.path[reservation_part] );
    auto const lock = std::scoped_lock( mutex_ );
    auto const status = model_.fill( id, tokens, real_now() );
    if ( !status )
    {
        reply_error( request, status.error() );
        return;
    }
    filling_[id] = [request]( bool is_filled )
    {
        if ( is_filled )
            request.reply->send_json( value::object() );
        else
            reply_error( request, { core::error_code::refused, "released" } );
    };
    wake_.notify_all();
}

auto engine_server::on_load( http::received_request request ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    request.reply->send_json( http::to_json( model_.load( real_now() ) ) );
}

auto engine_server::on_held( http::received_request request ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    request.reply->send_json( http::to_json( model_.held() ) );
}

auto engine_server::on_fault( http::received_request request ) -> void
{
    auto const kind = request.query( "kind" );
    auto const is_on = request.query( "on" ) != "no";
    auto const lock = std::scoped_lock( mutex_ );
    if ( is_on )
        faults_.insert( kind );
    else
        faults_.erase( kind );
    request.reply->send_json( value::object() );
}

auto engine_server::on_counts( http::received_request request ) -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    auto json = value::object();
    json["opened"] = value::number( opened_ );
    json["cancelled"] = value::number( cancelled_ );
    json["resumed"] = value::number( resumed_ );
    json["memory_used"] = value::number( model_.memory_used() );
    json["held"] =
        value::number( static_cast<std::uint64_t>( model_.held().size() ) );
    request.reply->send_json( json );
}

auto engine_server::forget_old() -> void
{
    auto const now = real_now();
    std::erase_if( records_,
                   [now]( auto const& each )
                   {
                       auto const& r = each.second;
                       return r.ended && now > r.kept_until;
                   } );
}

auto engine_server::has_fault( std::string const& kind ) const -> bool
{
    return faults_.contains( kind );
}

}
