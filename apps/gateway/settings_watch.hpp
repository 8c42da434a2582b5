#ifndef POLLENSTREAM_APPS_GATEWAY_SETTINGS_WATCH_HPP
#define POLLENSTREAM_APPS_GATEWAY_SETTINGS_WATCH_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <settings_file.hpp>
#include <string>

namespace pollenstream::gateway
{

/// Reads the settings file again when a signal says so or its text has changed.
/// A file with faults, or one that cannot be read, leaves the settings as they
/// are; its findings are logged once for each text.
class settings_watch
{
public:
    /// The file's text; none where it cannot be read.
    using reader = std::function<std::optional<std::string>()>;
    /// Takes new settings; returns what of them waits for the next start.
    using taker =
        std::function<std::string( platform::gateway_settings const& )>;

    settings_watch( std::string path,
                    core::instance_id self,
                    reader read,
                    taker take,
                    ports::scheduler& scheduler,
                    exchange::event_log& log );

    /// Looks at the file from now on; what it says now is in force already.
    auto start() -> void;
    /// The process was told to read its settings again.
    auto reload() -> void;

private:
    auto look() -> void;
    auto read_again( std::string const& because ) -> void;
    auto record( std::string now, std::string because ) -> void;

    std::string path_;
    core::instance_id self_;
    reader read_;
    taker take_;
    ports::scheduler& scheduler_;
    exchange::event_log& log_;
    std::optional<std::string> seen_; ///< text that was looked at last
    std::unique_ptr<ports::scheduled_call> next_look_;
};

}

#endif
