#ifndef POLLENSTREAM_ADAPTERS_HTTP_SEND_REPLY_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_SEND_REPLY_HPP

#include <cpprest/http_msg.h>

#include <functional>

namespace pollenstream::adapters::http
{

/// Sends `response` and calls `on_failure` if the caller cannot be reached.
/// Every reply must be sent through this function: the library terminates the
/// process if the exception of a failed task is not observed.
auto send_reply( web::http::http_request const& request,
                 web::http::http_response const& response,
                 std::function<void()> on_failure = {} ) -> void;

/// Sends `body` as JSON with status 200.
auto send_json( web::http::http_request const& request,
                web::json::value const& body ) -> void;

}

#endif
