#ifndef POLLENSTREAM_SESSIONS_REQUEST_HPP
#define POLLENSTREAM_SESSIONS_REQUEST_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/prefix_chain.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/profile.hpp>

#include <memory>
#include <optional>
#include <string>

namespace pollenstream::sessions
{

/// A caller's request for an answer by a model, parsed and validated.
struct request
{
    core::workspace_id workspace;
    std::shared_ptr<std::string const> prompt;
    std::optional<core::token_count> max_output; ///< default: the profile's
    /// Shortens the time limit of the profile; a longer one has no effect.
    std::optional<core::duration> time_limit;
};

}

#endif
