#ifndef POLLENSTREAM_HANDOVER_PEER_CHOICE_HPP
#define POLLENSTREAM_HANDOVER_PEER_CHOICE_HPP

#include <pollenstream/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace pollenstream::handover
{

/// An instance that a request may be handed over to.
struct candidate
{
    core::instance_id id;
    bool is_near{ false }; ///< in the data centre of this instance
    std::size_t open{ 0 }; ///< requests that this instance has handed to it
};

/// Bounds the requests that are open at one instance from one other, so that
/// those that remain share the load of many that are cut off.
inline constexpr auto max_open_at_peer = std::size_t{ 32 };

/// Chooses one of two candidates drawn at random: the one with fewer open
/// requests. Those in the same data centre come first, as long as one of them
/// is below `max_open_at_peer`; nullopt if none is.
auto choose_peer( std::vector<candidate> const& all, std::minstd_rand& random )
    -> std::optional<core::instance_id>;

}

#endif
