#ifndef POLLENSTREAM_ADAPTERS_HTTP_ANSWER_SINKS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_ANSWER_SINKS_HPP

#include <pollenstream/ports/answer_sink.hpp>

#include <cpprest/http_msg.h>

#include <memory>
#include <string>

namespace pollenstream::adapters::http
{

/// Sends an answer as server-sent events while it is made. The response
/// starts with the first token or keep-alive; what fails before gets a status
/// of its own, what fails after is told in an `error` event.
auto make_streaming_sink( web::http::http_request const& request,
                          std::string model )
    -> std::shared_ptr<ports::answer_sink>;

/// Sends an answer as one JSON document when it is whole.
auto make_whole_sink( web::http::http_request const& request,
                      std::string model )
    -> std::shared_ptr<ports::answer_sink>;

}

#endif
