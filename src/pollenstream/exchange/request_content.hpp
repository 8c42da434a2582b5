#ifndef POLLENSTREAM_EXCHANGE_REQUEST_CONTENT_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_CONTENT_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/message.hpp>

#include <string>

namespace pollenstream::exchange
{

/// Names what a caller asks for over all of its tries, at whichever instance:
/// two requests with the same content id do the same at a target. Zero names
/// none.
using content_id = core::strong_number<struct content_id_tag>;

/// Of the caller's workspace, the method, the host, the path with its query,
/// and the body. Headers that differ between tries are left out.
auto content_of( caller_request const& request,
                 core::workspace_id const& workspace ) -> content_id;

/// 16 hexadecimal digits, as in logs.
auto to_string( content_id id ) -> std::string;

}

#endif
