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

/// Copies the header fields of a message in order.
auto fields_of( http::fields const& fields ) -> exchange::header_list;

/// Serializes a complete answer with a Content-Length. Without `has_body` the
/// length stands alone, as in the answer of a HEAD request.
auto write_answer( exchange::whole_answer const& answer,
                   bool keep_alive,
                   bool has_body = true ) -> std::string;
/// Serializes the head of an answer with a chunked body.
auto write_stream_head( int status,
                        exchange::header_list const& headers,
                        bool keep_alive ) -> std::string;
auto write_chunk( std::string_view bytes ) -> std::string;
auto write_last_chunk() -> std::string;
/// Serializes the head of a request. Adds a Content-Length unless the body is
/// empty and the method is GET, HEAD, DELETE or OPTIONS.
auto write_request_head( std::string_view method,
                         std::string_view target,
                         exchange::header_list const& headers,
                         std::size_t body_size ) -> std::string;
/// Serializes a complete request.
auto write_request( std::string_view method,
                    std::string_view target,
                    exchange::header_list const& headers,
                    std::string_view body ) -> std::string;

}

#endif
