#include <pollenstream/adapters/http/data_line_splitter.hpp>
#include <pollenstream/adapters/http/engine_codec.hpp>
#include <pollenstream/adapters/http/engine_http_client.hpp>
#include <pollenstream/adapters/http/json_call.hpp>

#include <cpprest/http_msg.h>

#include <atomic>
#include <stdexcept>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using web::http::methods;

constexpr auto stream_timeout = core::duration( 1h );
constexpr auto control_timeout = core::duration( 2s );
/// Maximum size of one event from an engine, in bytes.
constexpr auto max_event_size = std::size_t{ 256 } * 1024;
/// Bytes of an error response that are kept as the detail of the error.
constexpr auto max_detail_size = std::size_t{ 512 };

/// An open connection that delivers one answer.
class http_engine_stream : public ports::engine_stream, public call_listener
{
public:
    http_engine_stream( call_client const& control,
                        core::address to,
                        core::request_id request,
                        std::shared_ptr<ports::stream_listener> listener )
        : control_( control ), to_( std::move( to ) ),
          request_( std::move( request ) ), listener_( std::move( listener ) ),
          lines_( max_event_size )
    {
    }

    /// `call` keeps this stream alive until it has ended or is cancelled.
    auto set_call( std::weak_ptr<open_call> call ) -> void
    {
        call_ = std::move( call );
    }

    auto cancel() -> void override
    {
        detach();
        auto const path = "/v1/streams/" + encode_part( request_.str() );
        call_json( control_, to_, { methods::DEL, path, std::nullopt },
                   []( json_result const& ) {} );
    }

    auto detach() -> void override
    {
        listening_.store( false );
        if ( auto const call = call_.lock() )
            call->cancel();
    }

    auto on_head( call_head const& head ) -> void override
    {
        status_ = head.status;
    }

    auto on_bytes( std::string_view bytes ) -> void override
    {
        if ( !has_events_ && first_bytes_.size() < max_detail_size )
            first_bytes_.append( bytes.substr( 0, max_detail_size ) );
        auto events = std::vector<ports::engine_event>{};
        for ( auto const& line : lines_.add( bytes ) )
        {
            auto event = read_engine_event( line );
            if ( event )
                events.push_back( std::move( event.value() ) );
        }
        has_events_ = has_events_ || !events.empty();
        if ( !events.empty() && listening_.load() )
            listener_->on_events( events );
        if ( lines_.has_failed() )
            throw std::length_error( "an engine's event is too long" );
    }

    auto on_end( call_end const& end ) -> void override
    {
        if ( listening_.exchange( false ) )
            listener_->on_end( status_of( end ) );
        listener_.reset();
    }

private:
    [[nodiscard]] auto status_of( call_end const& end ) const
        -> core::result<void>
    {
        if ( !end.status || status_ == web::http::status_codes::OK )
            return end.status;
        return error_of_status( status_, first_bytes_ );
    }

    call_client const& control_;
    core::address to_;
    core::request_id request_;
    std::shared_ptr<ports::stream_listener> listener_;
    std::weak_ptr<open_call> call_;
    std::atomic<bool> listening_{ true };
    int status_{ 0 };
    std::string first_bytes_; ///< detail of an error response
    bool has_events_{ false };
    data_line_splitter lines_;
};

auto without_value( json_result const& reply ) -> core::result<void>
{
    if ( reply )
        return core::success();
    return reply.error();
}

}

engine_http_client::engine_http_client()
    : streams_( stream_timeout ), control_( control_timeout )
{
}

auto engine_http_client::open(
    ports::engine_endpoint const& engine,
    ports::engine_request const& request,
    std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<ports::engine_stream>
{
    auto call = call_request{};
    call.method = methods::POST;
    call.target = "/v1/streams";
    call.headers = { { "Content-Type", "application/json" } };
    call.body = to_json( request ).serialize();
    return start( engine, request.request, call, std::move( listener ) );
}

auto engine_http_client::resume(
    ports::engine_endpoint const& engine,
    ports::engine_request const& request,
    std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<ports::engine_stream>
{
    auto call = call_request{};
    call.target = "/v1/streams/" + encode_part( request.request.str() ) +
                  "?from=" + std::to_string( request.from_position ) +
                  "&attempt=" + std::to_string( request.attempt.count() );
    // The other persistent connections to the engine are probably lost as
    // well.
    call.fresh_connection = true;
    return start( engine, request.request, call, std::move( listener ) );
}

auto engine_http_client::start(
    ports::engine_endpoint const& engine,
    core::request_id const& request,
    call_request const& call,
    std::shared_ptr<ports::stream_listener> listener )
    -> std::shared_ptr<ports::engine_stream>
{
    auto stream = std::make_shared<http_engine_stream>(
        control_, engine.address, request, std::move( listener ) );
    stream->set_call( streams_.send( engine.address, call, stream ) );
    return stream;
}

auto engine_http_client::reserve( ports::engine_endpoint const& engine,
                                  ports::reservation_request const& reservation,
                                  done callback ) -> void
{
    call_json( control_, engine.address,
               { methods::POST, "/v1/reservations", to_json( reservation ) },
               [callback]( json_result const& reply )
               {
                   callback( without_value( reply ) );
               } );
}

auto engine_http_client::release( ports::engine_endpoint const& engine,
                                  core::reservation_id const& reservation,
                                  done callback ) -> void
{
    send_release( engine.address,
                  "/v1/reservations/" + encode_part( reservation.str() ),
                  std::move( callback ) );
}

auto engine_http_client::send_release( core::address const& to,
                                       std::string const& path,
                                       done callback ) -> void
{
    call_json( control_, to, { methods::DEL, path, std::nullopt },
               [callback]( json_result const& reply )
               {
                   callback( without_value( reply ) );
               } );
}

auto engine_http_client::fill_span( ports::engine_endpoint const& engine,
                                    core::reservation_id const& reservation,
                                    core::token_count tokens,
                                    core::duration limit,
                                    done callback ) -> void
{
    auto body = web::json::value::object();
    body["tokens"] = web::json::value::number( tokens.count() );
    body["time_left_us"] = web::json::value::number( limit.count() );
    auto const path =
        "/v1/reservations/" + encode_part( reservation.str() ) + "/fill";
    call_json( streams_, engine.address, { methods::POST, path, body },
               [callback]( json_result const& reply )
               {
                   callback( without_value( reply ) );
               } );
}

auto engine_http_client::load( ports::engine_endpoint const& engine,
                               load_done callback ) -> void
{
    call_json( control_, engine.address, { methods::GET, "/v1/load", {} },
               [callback]( json_result const& reply )
               {
                   if ( reply )
                       callback( read_load_report( reply.value() ) );
                   else
                       callback( reply.error() );
               } );
}

auto engine_http_client::held( ports::engine_endpoint const& engine,
                               held_done callback ) -> void
{
    call_json( control_, engine.address, { methods::GET, "/v1/held", {} },
               [callback]( json_result const& reply )
               {
                   if ( reply )
                       callback( read_held_memory( reply.value() ) );
                   else
                       callback( reply.error() );
               } );
}

auto engine_http_client::drop( ports::engine_endpoint const& engine,
                               core::request_id const& request,
                               done callback ) -> void
{
    send_release( engine.address, "/v1/streams/" + encode_part( request.str() ),
                  std::move( callback ) );
}

}
