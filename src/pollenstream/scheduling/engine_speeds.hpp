#ifndef POLLENSTREAM_SCHEDULING_ENGINE_SPEEDS_HPP
#define POLLENSTREAM_SCHEDULING_ENGINE_SPEEDS_HPP

#include <pollenstream/core/units.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

// Engine speeds learned from first events. Answers engines that have become
// slower than the configuration says, for some seconds or longer: without it,
// their short prompts and parts of long prompts keep being late.

namespace pollenstream::scheduling
{

/// How many times slower than configured an engine is, as its first events
/// show. One for each lifetime of an engine.
class speed_estimate
{
public:
    /// A sample is the ratio of the observed to the expected time of a first
    /// event, times the slowdown that the expectation assumed.
    auto add_sample( double slowdown, core::instant now ) -> void;
    /// The median of the last three samples, at most 10; missing samples count
    /// as 1. A median below 2 counts as 1, since first events vary that much,
    /// and so does an estimate without a sample for 5 s.
    [[nodiscard]] auto slowdown( core::instant now ) const -> double;

private:
    static constexpr auto sample_count = std::size_t{ 3 };
    static constexpr auto no_samples =
        std::array<double, sample_count>{ 1, 1, 1 };

    [[nodiscard]] auto is_expired( core::instant now ) const -> bool;

    std::array<double, sample_count> samples_{ no_samples };
    std::size_t next_{ 0 }; ///< the oldest sample, which is replaced next
    std::optional<core::instant> last_sample_at_;
};

/// The first event of work that was sent to one engine or several.
struct expected_first_event
{
    core::instant sent_at;
    core::duration time{ 0 };      ///< expected, since the work was sent
    std::vector<double> slowdowns; ///< assumed for each engine
};

/// The samples, one for each engine, that the work gives if its first event
/// comes at `at`. Empty if the event doesn't show the engines' speeds: late
/// work of several engines doesn't show which of them was slow.
auto samples_of( expected_first_event const& expected, core::instant at )
    -> std::vector<double>;

}

#endif
