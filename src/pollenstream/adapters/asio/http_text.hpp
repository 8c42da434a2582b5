#ifndef POLLENSTREAM_ADAPTERS_ASIO_HTTP_TEXT_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_HTTP_TEXT_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/exchange/message.hpp>

#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace pollenstream::adapters::asio
{

namespace http = boost::beast::http;

/// Copies the fields of a message in their order.
auto fields_of( http::fields const& fields ) -> exchange::header_list;

/// A whole answer as sent, with its length.
auto write_answer( exchange::whole_answer const& answer, bool keep_alive )
    -> std::string;
/// The head of an answer whose body follows in chunks.
auto write_stream_head( int status,
                        exchange::header_list const& headers,
                        bool keep_alive ) -> std::string;
auto write_chunk( std::string_view bytes ) -> std::string;
auto write_last_chunk() -> std::string;
/// A whole request as sent, with its length where it has a body.
auto write_request( std::string_view method,
                    std::string_view target,
                    exchange::header_list const& headers,
                    std::string_view body ) -> std::string;

}

#endif
