#ifndef POLLENSTREAM_STATE_CONFIGURATION_FOLLOWER_HPP
#define POLLENSTREAM_STATE_CONFIGURATION_FOLLOWER_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/configuration_codec.hpp>
#include <pollenstream/ports/key_value_store.hpp>
#include <pollenstream/state/configuration_holder.hpp>

#include <random>

namespace pollenstream::state
{

/// Watches the configuration head in the store and adopts each change. Makes
/// one store call at a time. After failures it backs off exponentially with
/// random jitter, so that the instances do not overload a store that has just
/// recovered.
class configuration_follower
{
public:
    configuration_follower( ports::key_value_store& store,
                            ports::configuration_codec const& codec,
                            configuration_holder& holder,
                            std::uint64_t seed );

    /// Waits until the head changes or the watch times out, and adopts a
    /// changed configuration. Returns the pause before the next call.
    auto follow_once() -> core::duration;

    core::counter watches;
    core::counter failures;
    core::counter adopted;
    core::counter refused; ///< outdated, incomplete or invalid configurations

private:
    auto backoff_after_failure() -> core::duration;

    ports::key_value_store& store_;
    ports::configuration_codec const& codec_;
    configuration_holder& holder_;
    ports::key_version known_version_;
    std::mt19937_64 random_;
    int consecutive_failures_{ 0 };
};

}

#endif
