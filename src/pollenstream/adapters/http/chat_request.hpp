#ifndef POLLENSTREAM_ADAPTERS_HTTP_CHAT_REQUEST_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CHAT_REQUEST_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <optional>
#include <string>

namespace pollenstream::adapters::http
{

/// The fields of a chat-completions body that the gateway uses.
struct chat_request
{
    std::string model;
    std::string prompt; ///< roles and contents of all messages, in order
    bool stream{ false };
    std::optional<core::token_count> max_tokens;
};

/// Parses a body; an error names the JSON path of the invalid field.
auto read_chat_request( std::string const& body ) -> core::result<chat_request>;

}

#endif
