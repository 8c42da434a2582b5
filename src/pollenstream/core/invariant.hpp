#ifndef POLLENSTREAM_CORE_INVARIANT_HPP
#define POLLENSTREAM_CORE_INVARIANT_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace pollenstream::core
{

/// Invariants that are checked at run time, also in production.
enum class invariant
{
    ends_in_time,         ///< an admitted request ends by its deadline
    memory_is_returned,   ///< memory held at an engine has a live owner
    answer_is_whole,      ///< a caller gets its own answer, in order, once
    not_run_is_true,      ///< nothing was sent before a "not run" refusal
    at_most_once,         ///< a non-idempotent call is sent once
    leaving_gets_no_work, ///< a leaving target is not chosen
    drained_gets_no_work, ///< no target of a drained data centre is chosen
    stop_cuts_nothing,    ///< a planned shutdown leaves no open request
    revision_only_rises,  ///< an adopted configuration is never older
    pause_holds,          ///< nothing is sent to a target while it is paused
    limit_holds,          ///< a target gets no more than its limit allows
    quarantine_holds,     ///< quarantined content is not sent again
    number_of_invariants,
};

/// Stable name of `which`, as used in the state dump.
auto name_of( invariant which ) -> std::string_view;

/// Counts checks and violations of each invariant.
class invariant_monitor
{
public:
    using handler = std::function<void( invariant, std::string const& )>;

    /// The process-wide monitor.
    static auto instance() -> invariant_monitor&;

    /// Counts one check; if `holds` is false, also counts a violation and
    /// calls the handler with `detail`.
    auto check( invariant which, bool holds, std::string_view detail ) -> void;

    [[nodiscard]] auto checks( invariant which ) const -> std::uint64_t;
    [[nodiscard]] auto violations( invariant which ) const -> std::uint64_t;

    /// Replaces the handler that is called on a violation and returns the
    /// former one. The default prints each violation to standard error and,
    /// if built with `POLLENSTREAM_ABORT_ON_VIOLATION`, aborts.
    auto set_handler( handler on_violation ) -> handler;

private:
    invariant_monitor();

    static constexpr auto kinds =
        static_cast<std::size_t>( invariant::number_of_invariants );
    std::array<std::atomic<std::uint64_t>, kinds> checks_{};
    std::array<std::atomic<std::uint64_t>, kinds> violations_{};
    std::mutex mutex_;
    handler on_violation_;
};

/// Shorthand for `invariant_monitor::instance().check(...)`.
auto check_invariant( invariant which, bool holds, std::string_view detail )
    -> void;

}

#endif
