#ifndef POLLENSTREAM_ADAPTERS_SPDLOG_STRUCTURED_LOG_HPP
#define POLLENSTREAM_ADAPTERS_SPDLOG_STRUCTURED_LOG_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/event_log.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace spdlog
{
class logger;
}

namespace pollenstream::adapters::spdlog
{

/// The event as `name=value` pairs, without what all lines begin with.
auto to_line( exchange::event const& what ) -> std::string;

/// Writes each event to standard output as a line of `name=value` pairs. Lines
/// pass through a bounded queue that drops and counts the oldest lines when it
/// is full, so a blocked reader of the output never delays a request.
class structured_log : public exchange::event_log
{
public:
    /// Each line begins with its time, this instance and its data centre.
    structured_log( core::instance_id const& self,
                    core::data_centre_id const& data_centre );
    ~structured_log() override;
    structured_log( structured_log const& ) = delete;
    auto operator=( structured_log const& ) -> structured_log& = delete;

    auto record( exchange::event const& what ) -> void override;

    /// Number of lines dropped because the queue was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    std::shared_ptr<::spdlog::logger> logger_;
};

}

#endif
