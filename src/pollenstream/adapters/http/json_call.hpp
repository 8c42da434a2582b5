#ifndef POLLENSTREAM_ADAPTERS_HTTP_JSON_CALL_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_JSON_CALL_HPP

#include <pollenstream/adapters/http/call_client.hpp>
#include <pollenstream/core/error.hpp>

#include <cpprest/json.h>

#include <functional>
#include <optional>
#include <string>

namespace pollenstream::adapters::http
{

/// An HTTP request with an optional JSON body and a JSON reply.
struct json_request
{
    std::string method{ "GET" };
    std::string path; ///< percent-encoded, includes the query
    std::optional<web::json::value> body;
};

using json_result = core::result<web::json::value>;
using json_done = std::function<void( json_result const& )>;

/// Sends the request and calls `callback` once. A failed call yields an error;
/// a status other than 2xx yields the error that `error_of_status` returns.
auto call_json( call_client const& client,
                core::address const& to,
                json_request const& request,
                json_done callback ) -> void;

/// Like `call_json`, but blocks until the reply arrives.
auto call_json_and_wait( call_client const& client,
                         core::address const& to,
                         json_request const& request ) -> json_result;

/// Maps an HTTP status to an error: 404 to `not_found`, 409 to `conflict`, 412
/// and 503 to `refused`, other 4xx to `malformed`, all else to `failed`.
auto error_of_status( int status, std::string detail ) -> core::error;

/// Percent-encodes the bytes of `text` that have a meaning in a path or query.
auto encode_part( std::string const& text ) -> std::string;

}

#endif
