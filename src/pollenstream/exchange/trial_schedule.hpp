#ifndef POLLENSTREAM_EXCHANGE_TRIAL_SCHEDULE_HPP
#define POLLENSTREAM_EXCHANGE_TRIAL_SCHEDULE_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenstream::exchange
{

/// When a quarantine lets single requests through to find out whether it is a
/// mistake (the half-open state of a circuit breaker).
///
/// A trial that is served ends the quarantine. After each one that is not, the
/// pause before the next is several times as long, so that few targets are lost
/// to suspects that do crash them: besides the first `free_crashes`, and those
/// within `settle_time`, at most three in the time for which crashes are
/// remembered. The state survives restarts: instances exchange it, and it is
/// recorded in the store.
class trial_schedule
{
public:
    /// Crashes that a cause may have until all instances know it.
    static constexpr auto free_crashes = std::size_t{ 5 };
    /// Time after the last of these within which trials are free as well.
    static constexpr auto settle_time =
        core::duration( std::chrono::seconds( 3 ) );

    trial_schedule() = default;
    /// `since`: when the quarantine began or was read from the store, or when
    /// the last trial began. `step`: the number of the next pause.
    explicit trial_schedule( core::instant since, std::int64_t step = 0 )
        : since_( since ), step_( step )
    {
    }

    /// A trial begins. `is_free`: few enough crashes are known by now.
    auto begin( core::instant now, bool is_free ) -> void;
    /// The last trial has ended without showing anything, so that the next one
    /// takes its place.
    auto revoke( core::instant now ) -> void;
    /// Another instance knows of this state; the later one counts.
    auto merge( trial_schedule const& other ) -> void;
    /// The state has been recorded at some time, with this step.
    auto merge_recorded( std::int64_t step ) -> void;

    /// When the next trial may begin.
    [[nodiscard]] auto next() const -> core::instant;
    [[nodiscard]] auto since() const -> core::instant
    {
        return since_;
    }
    [[nodiscard]] auto step() const -> std::int64_t
    {
        return step_;
    }

private:
    core::instant since_;
    std::int64_t step_{ 0 };
    std::int64_t step_before_{ 0 }; ///< step before the last trial
};

}

#endif
