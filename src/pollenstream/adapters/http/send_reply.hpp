#ifndef POLLENSTREAM_ADAPTERS_HTTP_SEND_REPLY_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_SEND_REPLY_HPP

#include <cpprest/http_msg.h>

#include <functional>

namespace pollenstream::adapters::http
{

/// Sends `response` and calls `on_failure` if the caller cannot be reached.
/// The library ends the process for a task whose failure nobody looks at, so
/// that every reply goes through here.
auto send_reply( web::http::http_request const& request,
                 web::http::http_response const& response,
                 std::function<void()> on_failure = {} ) -> void;

/// Sends `body` with status 200.
auto send_json( web::http::http_request const& request,
                web::json::value const& body ) -> void;

}

#endif
