#ifndef POLLENSTREAM_PROFILES_CONFIGURATION_HPP
#define POLLENSTREAM_PROFILES_CONFIGURATION_HPP

#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/profiles/document.hpp>
#include <pollenstream/profiles/profile.hpp>

#include <unordered_map>

namespace pollenstream::profiles
{

/// The operators' configuration of the fleet at one revision.
struct configuration
{
    core::revision revision;
    std::unordered_map<core::profile_id, profile> profiles;
    std::unordered_map<core::service_id, service> services;
    std::unordered_map<core::workspace_id, workspace> workspaces;

    /// The profile, or null if there is none.
    [[nodiscard]] auto find_profile( core::profile_id const& id ) const
        -> profile const*;
    /// The service, or null if there is none.
    [[nodiscard]] auto find_service( core::service_id const& id ) const
        -> service const*;
    /// The configured limits of the workspace, or the defaults.
    [[nodiscard]] auto
    workspace_or_default( core::workspace_id const& id ) const -> workspace;
};

/// Reads the sections `[service NAME]`, `[profile NAME]` and `[workspace NAME]`
/// into `into`. Errors are added to `found`; everything that is valid is read
/// even if other parts are not.
auto read_configuration( document const& input,
                         configuration& into,
                         core::findings& found ) -> void;

/// Checks references that may cross documents: the service of each profile has
/// to exist, and a profile of a model service has to be idempotent.
auto check_references( configuration const& config,
                       std::string const& file,
                       core::findings& found ) -> void;

}

#endif
