#ifndef POLLENSTREAM_SETTINGS_DAEMON_SETTINGS_HPP
#define POLLENSTREAM_SETTINGS_DAEMON_SETTINGS_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/finding.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/document.hpp>

#include <cstddef>
#include <string>

namespace pollenstream::settings
{

/// Settings of one daemon. docs/CONFIGURATION.md describes each of them.
struct daemon_settings
{
    core::instance_id id;
    core::data_centre_id data_centre;
    core::address callers;   ///< listens for callers
    core::address peers;     ///< listens for other instances
    core::address operators; ///< listens for operators
    core::address store;     ///< the platform's store
    core::address list;      ///< the platform's list of instances and targets
    std::string token;       ///< that operators have to present
    std::size_t largest_body{ 0 }; ///< of a caller's request, in bytes
    std::size_t memory{ 0 };       ///< of the process, in bytes
    int threads{ 0 };              ///< for HTTP
    /// Load requests per second, summed over all targets.
    std::int64_t load_polls_per_second{ 0 };
    /// How long callers may cache the answer of `/v1/entry`. An instance that
    /// leaves accepts requests for this long, since cached answers name it.
    core::duration entry_keep{ 0 };
    /// Maximum time that a planned stop waits for open requests.
    core::duration drain_limit{ 0 };
};

/// Reads and validates all of `input`; every error is added to `found`.
auto read_daemon_settings( profiles::document const& input,
                           core::findings& found ) -> daemon_settings;

}

#endif
