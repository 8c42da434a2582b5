#ifndef TESTS_SUPPORT_LIMITED_LOAD_HPP
#define TESTS_SUPPORT_LIMITED_LOAD_HPP

#include "support/exchange_fleet.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tests
{

/// Over which limits are judged.
constexpr auto limit_window = core::duration( std::chrono::seconds( 4 ) );

/// Which runs count.
using run_filter = std::function<bool( fleet_run const& )>;

/// Most requests that `target` got in one window that begins at `from` or
/// later.
auto most_in_window( std::vector<fleet_run> const& runs,
                     core::target_id const& target,
                     core::instant from,
                     run_filter const& counts = {} ) -> int;

auto count_between( std::vector<fleet_run> const& runs,
                    core::target_id const& target,
                    core::instant from,
                    core::instant until ) -> int;

/// What a window may hold: the limit, and one at its edge.
auto within_limit( double per_second ) -> double;
/// What the users' rule allows in a window: one and a half times that, and
/// five; for times of trouble.
auto within_rule( double per_second ) -> double;

/// Calls of one path, each at the next instance.
struct steady_calls
{
    auto play( core::duration time, core::duration pause ) -> void;
    [[nodiscard]] auto service() const -> fleet_targets&;

    exchange_fleet& fleet;
    std::string path;
    int number{ 0 };
    std::vector<std::shared_ptr<fleet_call>> all;
};

/// The target that got most.
auto busiest( fleet_targets const& service ) -> core::target_id;

/// The number of the instance that is asked first, from 0; -1: none is.
auto first_coordinator( exchange_fleet& fleet ) -> int;

}

#endif
