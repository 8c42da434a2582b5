#ifndef POLLENSTREAM_PROFILES_CONFIGURATION_HPP
#define POLLENSTREAM_PROFILES_CONFIGURATION_HPP

#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/profiles/document.hpp>
#include <pollenstream/profiles/profile.hpp>

#include <unordered_map>

namespace pollenstream::profiles
{

/// Everything that operators configure for the fleet, at one revision.
struct configuration
{
    core::revision revision;
    std::unordered_map<core::profile_id, profile> profiles;
    std::unordered_map<core::service_id, service> services;
    std::unordered_map<core::workspace_id, workspace> workspaces;

    /// The profile, or null.
    [[nodiscard]] auto find_profile( core::profile_id const& id ) const
        -> profile const*;
    /// The service, or null.
    [[nodiscard]] auto find_service( core::service_id const& id ) const
        -> service const*;
    /// The workspace's own limits, or the defaults.
    [[nodiscard]] auto
    workspace_or_default( core::workspace_id const& id ) const -> workspace;
};

/// Reads sections `[service N]`, `[profile N]` and `[workspace N]` into
/// `into`. Faults are added to `found`; what has none is read all the same.
auto read_configuration( document const& text,
                         configuration& into,
                         core::findings& found ) -> void;

/// Checks what spans documents: that each profile's service exists, that only
/// idempotent profiles are retried.
auto check_references( configuration const& whole,
                       std::string const& file,
                       core::findings& found ) -> void;

}

#endif
