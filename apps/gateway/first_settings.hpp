#ifndef POLLENSTREAM_APPS_GATEWAY_FIRST_SETTINGS_HPP
#define POLLENSTREAM_APPS_GATEWAY_FIRST_SETTINGS_HPP

#include <functional>
#include <optional>
#include <settings_file.hpp>
#include <string>

namespace pollenstream::gateway
{

/// Access to the settings file, the time and the log.
struct settings_source
{
    std::string path; ///< for findings
    /// Returns the text of the file, or none if it cannot be read.
    std::function<std::optional<std::string>()> read;
    /// Passes the time until the file is read again.
    std::function<void()> pause;
    /// Receives findings that have changed; `is_usable`: an instance starts in
    /// spite of them.
    std::function<void( std::string const& findings, bool is_usable )> report;
};

/// Reads the settings file once and adds findings to `found`.
auto read_settings_once( settings_source const& from,
                         platform::settings_findings& found )
    -> platform::gateway_settings;

/// Reads the settings file until an instance can start with it: one that is
/// missing or incomplete may just be being written.
auto wait_for_settings( settings_source const& from )
    -> platform::gateway_settings;

}

#endif
