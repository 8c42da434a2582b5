#include <pollenstream/adapters/http/reply_channel.hpp>

#include <utility>

namespace pollenstream::adapters::http
{

namespace
{

constexpr auto status_ok = 200;
constexpr auto status_internal_error = 500;

}

reply_channel::reply_channel( std::shared_ptr<asio::net::io_context> loop,
                              std::shared_ptr<exchange::answer_channel> answer )
    : loop_( std::move( loop ) ), answer_( std::move( answer ) )
{
}

reply_channel::~reply_channel()
{
    if ( !has_reply_ )
        send( { status_internal_error, {}, {} } );
    // The connection belongs to the thread of the loop.
    asio::net::post( *loop_, [answer = std::move( answer_ )] {} );
}

auto reply_channel::send( exchange::whole_answer reply ) -> void
{
    has_reply_ = true;
    post(
        [reply = std::move( reply )]( exchange::answer_channel& answer )
        {
            answer.send_whole( reply );
        } );
}

auto reply_channel::send_if_none( exchange::whole_answer reply ) -> void
{
    if ( !has_reply_ )
        send( std::move( reply ) );
}

auto reply_channel::send_json( web::json::value const& body ) -> void
{
    send( json_reply( status_ok, body ) );
}

auto reply_channel::start_stream( int status, exchange::header_list headers )
    -> void
{
    has_reply_ = true;
    post(
        [status,
         headers = std::move( headers )]( exchange::answer_channel& answer )
        {
            answer.start_stream( status, headers );
        } );
}

auto reply_channel::write( std::string bytes ) -> void
{
    post(
        [bytes = std::move( bytes )]( exchange::answer_channel& answer )
        {
            answer.send_chunk( bytes );
        } );
}

auto reply_channel::end_stream() -> void
{
    post(
        []( exchange::answer_channel& answer )
        {
            answer.end_stream();
        } );
}

auto reply_channel::post( step what ) -> void
{
    asio::net::post( *loop_,
                     [what = std::move( what ), answer = answer_]
                     {
                         what( *answer );
                     } );
}

auto json_reply( int status, web::json::value const& body )
    -> exchange::whole_answer
{
    return {
        status, { { "Content-Type", "application/json" } }, body.serialize() };
}

}
