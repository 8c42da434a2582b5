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

/// Settings of one daemon; see docs/CONFIGURATION.md.
struct daemon_settings
{
    core::instance_id id;
    core::data_centre_id data_centre;
    core::address callers;
    core::address peers;
    core::address operators;
    core::address store;
    core::address list;
    std::string token;
    std::size_t largest_body{ 0 }; ///< bytes
    int threads{ 0 };
    /// Targets that are asked for their load in a second, over all.
    std::int64_t load_polls_per_second{ 0 };
    /// How long callers may keep an entry answer, and a leaving instance goes
    /// on accepting.
    core::duration entry_keep{ 0 };
    /// How long a planned stop waits for open requests.
    core::duration drain_limit{ 0 };
};

/// Reads and checks the whole of `text`; all faults go into `found`.
auto read_daemon_settings( profiles::document const& text,
                           core::findings& found ) -> daemon_settings;

}

#endif
