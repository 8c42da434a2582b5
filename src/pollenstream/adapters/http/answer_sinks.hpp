#ifndef POLLENSTREAM_ADAPTERS_HTTP_ANSWER_SINKS_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_ANSWER_SINKS_HPP

#include <pollenstream/adapters/http/reply_channel.hpp>
#include <pollenstream/ports/answer_sink.hpp>

#include <memory>
#include <string>

namespace pollenstream::adapters::http
{

/// Streams an answer as server-sent events. The response starts with the first
/// token or keep-alive. A failure before that is reported by the HTTP status, a
/// later one by an `error` event.
auto make_streaming_sink( std::shared_ptr<reply_channel> reply,
                          std::string model )
    -> std::shared_ptr<ports::answer_sink>;

/// Collects an answer and sends it as one JSON document when it is complete.
auto make_buffered_sink( std::shared_ptr<reply_channel> reply,
                         std::string model )
    -> std::shared_ptr<ports::answer_sink>;

}

#endif
