#ifndef POLLENSTREAM_ADAPTERS_HTTP_BOUNDED_BODY_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_BOUNDED_BODY_HPP

#include <cpprest/http_client.h>

#include <cstddef>
#include <memory>
#include <string>

namespace pollenstream::adapters::http
{

/// Limit on a body that is collected: as large as the largest message between
/// instances, which may carry such a body.
inline constexpr auto max_collected_bytes = std::size_t{ 16 } * 1024 * 1024;

/// A response without its body, and the complete body.
struct collected_response
{
    web::http::http_response response;
    std::string body;
};

/// Sends `message` and collects the body of its response. The task fails, and
/// the connection is closed, as soon as the body exceeds `max_bytes`.
auto request_and_collect( web::http::client::http_client& client,
                          web::http::http_request message,
                          std::size_t max_bytes = max_collected_bytes )
    -> pplx::task<collected_response>;

}

#endif
