#ifndef POLLENSTREAM_REGISTRY_REGISTRATION_HPP
#define POLLENSTREAM_REGISTRY_REGISTRATION_HPP

#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/ports/record_store.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <memory>
#include <string>

namespace pollenstream::registry
{

/// Keeps this instance's record in the store for as long as the process
/// lives, so that instances find each other also where all the addresses that
/// they were started with are gone.
class registration
{
public:
    registration( ports::record_store& store,
                  ports::scheduler& scheduler,
                  std::string key,
                  std::string value,
                  exchange::event_log& log );

    auto start() -> void;
    /// Removes the record.
    auto stop() -> void;

private:
    auto grant() -> void;
    auto put() -> void;
    auto renew() -> void;
    /// Logs once that the record was lost or is back, and why.
    auto note( bool held, std::string const& because ) -> void;
    auto later( core::duration delay, void ( registration::*step )() ) -> void;

    ports::record_store& store_;
    ports::scheduler& scheduler_;
    std::string key_;
    std::string value_;
    exchange::event_log& log_;
    ports::lease_id lease_;
    bool held_{ false };
    bool trouble_told_{ false };
    bool stopped_{ false };
    std::unique_ptr<ports::scheduled_call> next_;
};

}

#endif
