#ifndef POLLENSTREAM_ADAPTERS_HTTP_PUSH_BUFFER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_PUSH_BUFFER_HPP

#include <cpprest/streams.h>

#include <functional>
#include <string_view>

namespace pollenstream::adapters::http
{

/// Returns a stream that passes each piece of a body to `on_bytes` as soon as
/// the HTTP client writes it. Reading the body from the client's own buffer
/// would cost two more tasks per read, each of which may wake a thread.
auto make_push_stream( std::function<void( std::string_view )> on_bytes )
    -> concurrency::streams::basic_ostream<std::uint8_t>;

}

#endif
