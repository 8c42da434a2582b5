#include <pollenstream/adapters/asio/http_text.hpp>

#include <boost/beast/core/buffers_to_string.hpp>

namespace pollenstream::adapters::asio
{

namespace
{

constexpr auto http_1_1 = 11U;

template <bool IsRequest>
auto serialize_head( http::message<IsRequest, http::empty_body> const& message )
    -> std::string
{
    auto text = std::string{};
    auto serializer = http::serializer<IsRequest, http::empty_body>( message );
    serializer.split( true );
    auto ec = error_code{};
    while ( !ec && !serializer.is_header_done() )
    {
        serializer.next( ec,
                         [&]( auto&, auto const& buffers )
                         {
                             auto const head =
                                 boost::beast::buffers_to_string( buffers );
                             text += head;
                             serializer.consume( head.size() );
                         } );
    }
    return text;
}

template <class Message>
auto add_fields( Message& message, exchange::header_list const& headers )
    -> void
{
    for ( auto const& h : headers )
        message.insert( h.name, h.value );
}

}

auto fields_of( http::fields const& fields ) -> exchange::header_list
{
    auto list = exchange::header_list{};
    for ( auto const& f : fields )
        list.push_back(
            { std::string( f.name_string() ), std::string( f.value() ) } );
    return list;
}

auto write_answer( exchange::whole_answer const& answer,
                   bool keep_alive,
                   bool has_body ) -> std::string
{
    auto message = http::response<http::empty_body>{};
    message.version( http_1_1 );
    message.result( static_cast<unsigned>( answer.status ) );
    add_fields( message, answer.headers );
    message.content_length( answer.body.size() );
    if ( !keep_alive )
        message.set( http::field::connection, "close" );
    auto text = serialize_head( message );
    if ( has_body )
        text += answer.body;
    return text;
}

auto write_stream_head( int status,
                        exchange::header_list const& headers,
                        bool keep_alive ) -> std::string
{
    auto message = http::response<http::empty_body>{};
    message.version( http_1_1 );
    message.result( static_cast<unsigned>( status ) );
    add_fields( message, headers );
    message.chunked( true );
    if ( !keep_alive )
        message.set( http::field::connection, "close" );
    return serialize_head( message );
}

auto write_chunk( std::string_view bytes ) -> std::string
{
    return boost::beast::buffers_to_string(
        http::make_chunk( net::buffer( bytes.data(), bytes.size() ) ) );
}

auto write_last_chunk() -> std::string
{
    return boost::beast::buffers_to_string( http::make_chunk_last() );
}

auto write_request_head( std::string_view method,
                         std::string_view target,
                         exchange::header_list const& headers,
                         std::size_t body_size ) -> std::string
{
    auto message = http::request<http::empty_body>{};
    message.version( http_1_1 );
    message.method_string( { method.data(), method.size() } );
    message.target( { target.data(), target.size() } );
    add_fields( message, headers );
    auto const may_lack_body = method == "GET" || method == "HEAD" ||
                               method == "DELETE" || method == "OPTIONS";
    if ( body_size > 0 || !may_lack_body )
        message.content_length( body_size );
    return serialize_head( message );
}

auto write_request( std::string_view method,
                    std::string_view target,
                    exchange::header_list const& headers,
                    std::string_view body ) -> std::string
{
    auto text = write_request_head( method, target, headers, body.size() );
    text += body;
    return text;
}

}
