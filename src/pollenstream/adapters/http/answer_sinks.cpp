#include <pollenstream/adapters/http/answer_sinks.hpp>
#include <pollenstream/adapters/http/problem.hpp>
#include <pollenstream/adapters/http/send_reply.hpp>

#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <cstdint>
#include <string_view>
#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

using web::json::value;

auto usage_json( ports::answer_end const& end ) -> value
{
    auto json = value::object();
    json["prompt_tokens"] = value::number( end.prompt_tokens.count() );
    json["completion_tokens"] = value::number( end.output_tokens.count() );
    return json;
}

/// Sends replies to a caller and records whether its connection has failed.
class reply_channel
{
public:
    auto reply( web::http::http_request const& request,
                web::http::http_response const& response ) -> void
    {
        send_reply( request, response,
                    [gone = gone_]
                    {
                        gone->store( true );
                    } );
    }

    [[nodiscard]] auto is_gone() const -> bool
    {
        return gone_->load();
    }

private:
    std::shared_ptr<std::atomic<bool>> gone_ =
        std::make_shared<std::atomic<bool>>( false );
};

class streaming_sink : public ports::answer_sink
{
public:
    streaming_sink( web::http::http_request const& request, std::string model )
        : request_( request ), model_( std::move( model ) )
    {
    }

    auto write( std::string_view text, std::int64_t ) -> bool override
    {
        start();
        auto delta = value::object();
        delta["content"] = value::string( std::string( text ) );
        send( "data: " + chunk( delta, {} ).serialize() + "\n\n" );
        return !channel_.is_gone();
    }

    auto keep_alive() -> bool override
    {
        start();
        send( ": waiting\n\n" );
        return !channel_.is_gone();
    }

    auto finish( ports::answer_end const& end ) -> void override
    {
        auto const complete = end.status == ports::answer_status::complete;
        if ( !started_ && !complete )
        {
            channel_.reply( request_, problem_response( end ) );
            return;
        }
        start();
        if ( complete )
        {
            auto last = chunk( value::object(), "stop" );
            last["usage"] = usage_json( end );
            send( "data: " + last.serialize() + "\n\ndata: [DONE]\n\n" );
        }
        else
        {
            send( "event: error\ndata: " + problem_json( end ).serialize() +
                  "\n\n" );
        }
        buffer_.close( std::ios_base::out );
    }

private:
    auto start() -> void
    {
        if ( std::exchange( started_, true ) )
            return;
        auto response = web::http::http_response( web::http::status_codes::OK );
        response.headers().add( "Cache-Control", "no-store" );
        response.set_body( buffer_.create_istream(), "text/event-stream" );
        channel_.reply( request_, response );
    }

    auto send( std::string const& text ) -> void
    {
        auto const* const bytes =
            reinterpret_cast<std::uint8_t const*>( text.data() );
        buffer_.putn_nocopy( bytes, text.size() );
        buffer_.sync();
    }

    [[nodiscard]] auto chunk( value delta, std::string const& reason ) const
        -> value
    {
        auto choice = value::object();
        choice["index"] = value::number( 0 );
        choice["delta"] = std::move( delta );
        if ( !reason.empty() )
            choice["finish_reason"] = value::string( reason );
        auto json = value::object();
        json["object"] = value::string( "chat.completion.chunk" );
        json["model"] = value::string( model_ );
        json["choices"] = value::array( { choice } );
        return json;
    }

    web::http::http_request request_;
    std::string model_;
    reply_channel channel_;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
    bool started_{ false };
};

class buffered_sink : public ports::answer_sink
{
public:
    buffered_sink( web::http::http_request const& request, std::string model )
        : request_( request ), model_( std::move( model ) )
    {
    }

    auto write( std::string_view text, std::int64_t ) -> bool override
    {
        text_ += text;
        return true;
    }

    auto keep_alive() -> bool override
    {
        return true;
    }

    auto finish( ports::answer_end const& end ) -> void override
    {
        if ( end.status != ports::answer_status::complete )
        {
            channel_.reply( request_, problem_response( end ) );
            return;
        }
        auto message = value::object();
        message["role"] = value::string( "assistant" );
        message["content"] = value::string( text_ );
        auto choice = value::object();
        choice["index"] = value::number( 0 );
        choice["message"] = message;
        choice["finish_reason"] = value::string( "stop" );
        auto json = value::object();
        json["object"] = value::string( "chat.completion" );
        json["model"] = value::string( model_ );
        json["choices"] = value::array( { choice } );
        json["usage"] = usage_json( end );
        auto response = web::http::http_response( web::http::status_codes::OK );
        response.set_body( json );
        channel_.reply( request_, response );
    }

private:
    web::http::http_request request_;
    std::string model_;
    std::string text_;
    reply_channel channel_;
};

}

auto make_streaming_sink( web::http::http_request const& request,
                          std::string model )
    -> std::shared_ptr<ports::answer_sink>
{
    return std::make_shared<streaming_sink>( request, std::move( model ) );
}

auto make_buffered_sink( web::http::http_request const& request,
                         std::string model )
    -> std::shared_ptr<ports::answer_sink>
{
    return std::make_shared<buffered_sink>( request, std::move( model ) );
}

}
