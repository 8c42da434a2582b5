#include <pollenstream/adapters/http/answer_sinks.hpp>
#include <pollenstream/adapters/http/problem.hpp>

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

constexpr auto status_ok = 200;

class streaming_sink : public ports::answer_sink
{
public:
    streaming_sink( std::shared_ptr<reply_channel> reply, std::string model )
        : reply_( std::move( reply ) ), model_( std::move( model ) )
    {
    }

    auto write( std::string_view text, std::int64_t ) -> bool override
    {
        start();
        auto delta = value::object();
        delta["content"] = value::string( std::string( text ) );
        reply_->write( "data: " + chunk( delta, {} ).serialize() + "\n\n" );
        return !reply_->is_gone();
    }

    auto keep_alive() -> bool override
    {
        start();
        reply_->write( ": waiting\n\n" );
        return !reply_->is_gone();
    }

    auto finish( ports::answer_end const& end ) -> void override
    {
        auto const complete = end.status == ports::answer_status::complete;
        if ( !started_ && !complete )
        {
            reply_->send( problem_reply( end ) );
            return;
        }
        start();
        if ( complete )
        {
            auto last = chunk( value::object(), "stop" );
            last["usage"] = usage_json( end );
            reply_->write( "data: " + last.serialize() +
                           "\n\ndata: [DONE]\n\n" );
        }
        else
        {
            reply_->write( "event: error\ndata: " +
                           problem_json( end ).serialize() + "\n\n" );
        }
        reply_->end_stream();
    }

private:
    auto start() -> void
    {
        if ( std::exchange( started_, true ) )
            return;
        reply_->start_stream( status_ok,
                              { { "Content-Type", "text/event-stream" },
                                { "Cache-Control", "no-store" } } );
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

    std::shared_ptr<reply_channel> reply_;
    std::string model_;
    bool started_{ false };
};

class buffered_sink : public ports::answer_sink
{
public:
    buffered_sink( std::shared_ptr<reply_channel> reply, std::string model )
        : reply_( std::move( reply ) ), model_( std::move( model ) )
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
            reply_->send( problem_reply( end ) );
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
        reply_->send_json( json );
    }

private:
    std::shared_ptr<reply_channel> reply_;
    std::string model_;
    std::string text_;
};

}

auto make_streaming_sink( std::shared_ptr<reply_channel> reply,
                          std::string model )
    -> std::shared_ptr<ports::answer_sink>
{
    return std::make_shared<streaming_sink>( std::move( reply ),
                                             std::move( model ) );
}

auto make_buffered_sink( std::shared_ptr<reply_channel> reply,
                         std::string model )
    -> std::shared_ptr<ports::answer_sink>
{
    return std::make_shared<buffered_sink>( std::move( reply ),
                                            std::move( model ) );
}

}
