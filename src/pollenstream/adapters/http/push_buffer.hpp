#ifndef POLLENSTREAM_ADAPTERS_HTTP_PUSH_BUFFER_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_PUSH_BUFFER_HPP

#include <cpprest/streams.h>

#include <functional>
#include <string_view>

namespace pollenstream::adapters::http
{

/// Takes the bytes of a body where the HTTP client writes them, and hands
/// them on at once. A body that is read from the client's own buffer costs two
/// more tasks a read, each of which may wake a thread.
auto make_push_stream( std::function<void( std::string_view )> take )
    -> concurrency::streams::basic_ostream<std::uint8_t>;

}

#endif
