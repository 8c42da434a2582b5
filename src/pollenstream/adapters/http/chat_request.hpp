#ifndef POLLENSTREAM_ADAPTERS_HTTP_CHAT_REQUEST_HPP
#define POLLENSTREAM_ADAPTERS_HTTP_CHAT_REQUEST_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/units.hpp>

#include <optional>
#include <string>

namespace pollenstream::adapters::http
{

/// What a chat-completions body asks for, as far as it is used here.
struct chat_request
{
    std::string model;
    std::string prompt; ///< roles and contents of all messages, in order
    bool stream{ false };
    std::optional<core::token_count> max_tokens;
};

/// Reads a body; an error names the place of the fault.
auto read_chat_request( std::string const& body ) -> core::result<chat_request>;

}

#endif
