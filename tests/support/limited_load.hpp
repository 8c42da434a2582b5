#ifndef TESTS_SUPPORT_LIMITED_LOAD_HPP
#define TESTS_SUPPORT_LIMITED_LOAD_HPP

#include "support/exchange_fleet.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

/// Length of the window in which requests are counted against a limit.
constexpr auto limit_window = core::duration( std::chrono::seconds( 4 ) );

/// True for the runs that are counted.
using run_filter = std::function<bool( fleet_run const& )>;

/// Largest number of requests that `target` received in any window that begins
/// at `from` or later.
auto max_in_window( std::vector<fleet_run> const& runs,
                    core::target_id const& target,
                    core::instant from,
                    run_filter const& counts = {},
                    core::duration window = limit_window ) -> int;

/// Requests that `target` received from `from` until before `until`.
auto count_between( std::vector<fleet_run> const& runs,
                    core::target_id const& target,
                    core::instant from,
                    core::instant until ) -> int;

/// Requests that a window may hold: the limit, and one at its edge.
auto max_by_limit( double per_second ) -> double;
/// Requests that the requirements allow in a window while instances fail: one
/// and a half times the limit, plus five.
auto max_during_faults( double per_second ) -> double;

/// Sends calls of one path at a constant rate, to each instance in turn.
struct steady_load
{
    auto send_for( core::duration time, core::duration interval ) -> void;
    [[nodiscard]] auto service() const -> fleet_targets&;

    exchange_fleet& fleet;
    std::string path;
    int sent{ 0 };
    std::vector<std::shared_ptr<fleet_call>> calls;
};

/// The target that received the most requests.
auto busiest_target( fleet_targets const& service ) -> core::target_id;

/// Index of the instance that is the active coordinator; -1 if there is none.
auto active_coordinator( exchange_fleet& fleet ) -> int;

}

#endif
