#ifndef APPS_TOOL_CALLER_HPP
#define APPS_TOOL_CALLER_HPP

#include <pollenstream/core/address.hpp>

#include <string>
#include <vector>

namespace apps::tool
{

/// What `send` and `call` have in common.
struct caller_options
{
    pollenstream::core::address entry; ///< any daemon's address for callers
    std::string workspace;
    std::string profile;
    std::string data_centre;
    bool json{ false };
};

/// Asks which addresses to use, as a caller would. Empty where no daemon
/// answers.
auto ask_entry( caller_options const& options )
    -> std::vector<pollenstream::core::address>;

/// The start of tickets for non-idempotent calls.
auto ask_ticket_prefix( caller_options const& options ) -> std::string;

/// Sends a prompt, prints the answer as it comes, then a line with timings.
/// Returns the exit status.
auto send_prompt( caller_options const& options, std::string const& prompt )
    -> int;

/// Makes one call to a plain service; a key makes it a ticketed call.
auto call_service( caller_options const& options,
                   std::string const& service,
                   std::string const& path,
                   std::string const& body,
                   std::string const& key ) -> int;

}

#endif
