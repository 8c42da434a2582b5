#ifndef POLLENSTREAM_REGISTRY_REGISTRATION_HPP
#define POLLENSTREAM_REGISTRY_REGISTRATION_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <memory>
#include <string>

namespace pollenstream::registry
{

/// Keeps this instance's record in the store while the process runs, so that
/// instances find each other even if none of the addresses in their settings is
/// reachable any more.
class registration
{
public:
    registration( ports::record_store& store,
                  ports::scheduler& scheduler,
                  std::string key,
                  std::string value,
                  exchange::event_log& log );

    /// Writes the record and renews its lease until `stop`.
    auto start() -> void;
    /// Ends the lease, which removes the record from the store.
    auto stop() -> void;

private:
    auto grant() -> void;
    auto put() -> void;
    auto renew() -> void;
    /// Logs when the record can no longer be kept and when it is kept again,
    /// each once, with the reason.
    auto log_state( bool held, std::string const& reason ) -> void;
    auto schedule( core::duration delay, void ( registration::*step )() )
        -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    std::string key_;
    std::string value_;
    exchange::event_log& log_;
    ports::lease_id lease_;
    bool held_{ false };
    bool failure_logged_{ false };
    bool stopped_{ false };
    std::unique_ptr<ports::scheduled_call> next_step_;
};

}

#endif
