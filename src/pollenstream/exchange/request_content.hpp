#ifndef POLLENSTREAM_EXCHANGE_REQUEST_CONTENT_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_CONTENT_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/message.hpp>

#include <string>

namespace pollenstream::exchange
{

/// Hash of what a request asks for, of 60 bits. It is the same for all retries
/// by a caller at any instance: requests with the same content id make a target
/// do the same work. Zero means none.
using content_id = core::strong_number<struct content_id_tag>;

/// Hashes the caller's workspace, the method, the host, the path with its query
/// and the body. Headers are left out, as some differ between retries.
auto content_of( caller_request const& request,
                 core::workspace_id const& workspace ) -> content_id;

/// The id as 16 hexadecimal digits, as it appears in logs.
auto to_string( content_id id ) -> std::string;
/// The id in hexadecimal, as callers write it.
auto to_string( prompt_part_id id ) -> std::string;

}

#endif
