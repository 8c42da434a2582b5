#include <pollenstream/adapters/asio/http_text.hpp>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

namespace pollenstream::adapters::asio
{

namespace
{

constexpr auto http_1_1 = 11U;

template <bool IsRequest, class Body>
auto serialize( http::message<IsRequest, Body> const& message, bool head_only )
    -> std::string
{
    auto text = std::string{};
    auto serializer = http::serializer<IsRequest, Body>( message );
    serializer.split( head_only );
    auto ec = error_code{};
    while ( !serializer.is_done() )
    {
        serializer.next( ec,
                         [&]( auto&, auto const& buffers )
                         {
                             auto size = std::size_t{ 0 };
                             for ( auto const b :
                                   boost::beast::buffers_range_ref( buffers ) )
                             {
                                 text.append(
                                     static_cast<char const*>( b.data() ),
                                     b.size() );
                                 size += b.size();
                             }
                             serializer.consume( size );
                         } );
        if ( ec || ( head_only && serializer.is_header_done() ) )
            break;
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

auto write_answer( exchange::whole_answer const& answer, bool keep_alive )
    -> std::string
{
    auto message = http::response<http::string_body>{};
    message.version( http_1_1 );
    message.result( static_cast<unsigned>( answer.status ) );
    add_fields( message, answer.headers );
    message.body() = answer.body;
    message.content_length( answer.body.size() );
    if ( !keep_alive )
        message.set( http::field::connection, "close" );
    return serialize( message, false );
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
    return serialize( message, true );
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

auto write_request( std::string_view method,
                    std::string_view target,
                    exchange::header_list const& headers,
                    std::string_view body ) -> std::string
{
    auto message = http::request<http::string_body>{};
    message.version( http_1_1 );
    message.method_string( { method.data(), method.size() } );
    message.target( { target.data(), target.size() } );
    add_fields( message, headers );
    message.body().assign( body );
    auto const may_lack_body = method == "GET" || method == "HEAD" ||
                               method == "DELETE" || method == "OPTIONS";
    if ( !body.empty() || !may_lack_body )
        message.content_length( body.size() );
    return serialize( message, false );
}

}
