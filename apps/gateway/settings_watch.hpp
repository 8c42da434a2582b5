#ifndef POLLENSTREAM_APPS_GATEWAY_SETTINGS_WATCH_HPP
#define POLLENSTREAM_APPS_GATEWAY_SETTINGS_WATCH_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <functional>
#include <optional>
#include <settings_file.hpp>
#include <string>

namespace pollenstream::gateway
{

/// Reloads the settings file on a signal or when its text has changed. A file
/// that is invalid or cannot be read leaves the settings unchanged; its
/// findings are logged once per text.
class settings_watch
{
public:
    /// Returns the text of the file, or none if it cannot be read.
    using text_reader = std::function<std::optional<std::string>()>;
    /// Applies new settings; returns the names of those that take effect only
    /// after a restart.
    using applier =
        std::function<std::string( platform::gateway_settings const& )>;

    settings_watch( std::string path,
                    core::instance_id self,
                    text_reader read_text,
                    applier apply,
                    ports::scheduler& scheduler,
                    exchange::event_log& log );

    /// Starts to poll the file. Its present text is already in force.
    auto start() -> void;
    /// Reloads the file; called when the process receives the reload signal.
    auto reload() -> void;

private:
    auto poll() -> void;
    auto read_settings_again( std::string const& because ) -> void;
    auto record( std::string now, std::string because ) -> void;

    std::string path_;
    core::instance_id self_;
    text_reader read_text_;
    applier apply_;
    exchange::event_log& log_;
    std::optional<std::string> last_text_; ///< text of the last poll or reload
    ports::repeating_call polls_;
};

}

#endif
