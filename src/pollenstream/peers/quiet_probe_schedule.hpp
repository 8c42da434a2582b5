#ifndef POLLENSTREAM_PEERS_QUIET_PROBE_SCHEDULE_HPP
#define POLLENSTREAM_PEERS_QUIET_PROBE_SCHEDULE_HPP

#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <optional>
#include <random>

namespace pollenstream::peers
{

/// The numbers by which probes are spread.
struct probe_population
{
    std::size_t instances{ 1 }; ///< all, with this one
    std::size_t targets{ 0 };   ///< that can be probed
};

/// Decides when an instance without recent answers opens a connection to one
/// target, to find out whether it still reaches any. All instances together
/// open a bounded number of connections a second to each target.
class quiet_probe_schedule
{
public:
    /// True if a probe is due; it is taken to be sent then. `last_answer`: of
    /// any target to this instance.
    auto is_due( core::instant now,
                 core::instant last_answer,
                 probe_population const& all,
                 std::minstd_rand& random ) -> bool;
    /// Another instance has lost the path to all targets, which may concern
    /// this one: the next probe comes sooner.
    auto hasten( core::instant now,
                 probe_population const& all,
                 std::minstd_rand& random ) -> void;

    /// Between two probes of one instance.
    [[nodiscard]] static auto period( probe_population const& all )
        -> core::duration;

private:
    std::optional<core::instant> next_at_;
    bool is_hastened_{ false };
};

}

#endif
