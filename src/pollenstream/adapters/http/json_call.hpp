#ifndef POLLENSTREAM_ADAPTERS_HTTP_JSON_CALL_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_JSON_CALL_HPP

#include <pollenstream/adapters/http/client_pool.hpp>
#include <pollenstream/core/error.hpp>

#include <cpprest/json.h>

#include <functional>
#include <optional>
#include <string>

namespace pollenstream::adapters::http
{

/// One HTTP call with JSON in and out.
struct json_request
{
    web::http::method method{ web::http::methods::GET };
    std::string path; ///< with its query, encoded
    std::optional<web::json::value> body;
};

using json_result = core::result<web::json::value>;
using json_done = std::function<void( json_result const& )>;

/// Sends the call and calls back once. What fails becomes an error, and an
/// answer that is not 2xx becomes the error that `error_of_status` names.
auto call_json( client_pool& pool,
                core::address const& to,
                json_request const& request,
                json_done callback ) -> void;

/// As `call_json`, and waits for the answer.
auto call_json_and_wait( client_pool& pool,
                         core::address const& to,
                         json_request const& request ) -> json_result;

/// The error that an HTTP status stands for: 404 not found, 409 conflict, 412
/// and 503 refused, other 4xx malformed, else failed.
auto error_of_status( web::http::status_code status, std::string detail )
    -> core::error;

/// `text` with every byte encoded that has a meaning in a path or a query.
auto encode_part( std::string const& text ) -> std::string;

}

#endif
