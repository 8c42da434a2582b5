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

/// Waits for changes of the head at the store and takes them over. One call
/// is out at a time; after a failure the next one comes after a pause that
/// doubles and is drawn at random, so that a fleet does not fall upon a store
/// that comes back.
class configuration_follower
{
public:
    configuration_follower( ports::key_value_store& store,
                            ports::configuration_codec const& codec,
                            configuration_holder& holder,
                            std::uint64_t seed );

    /// Waits for one change, or for the watch to end. Returns how long to
    /// pause before the next call.
    auto follow_once() -> core::duration;

    core::counter watches;
    core::counter failures;
    core::counter adopted;
    core::counter refused; ///< heads that were older, missing parts or faulty

private:
    auto pause_after_failure() -> core::duration;

    ports::key_value_store& store_;
    ports::configuration_codec const& codec_;
    configuration_holder& holder_;
    ports::key_version seen_;
    std::mt19937_64 random_;
    int failures_in_a_row_{ 0 };
};

}

#endif
