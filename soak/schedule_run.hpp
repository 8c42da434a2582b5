#ifndef SOAK_SCHEDULE_RUN_HPP
#define SOAK_SCHEDULE_RUN_HPP

#include "fault_schedule.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace soak
{

/// What became of one run.
struct run_report
{
    std::vector<std::string> violations;
    std::array<std::int64_t, step_kinds> steps{};
    std::int64_t complete{ 0 };
    std::int64_t failed{ 0 };
    std::int64_t not_run{ 0 };
    std::uint64_t hash{ 0 }; ///< over all that callers saw, and when
};

/// Runs a schedule over sessions and in-process engines in held time, and
/// checks what callers saw. Equal schedules make equal reports.
auto run_schedule( fault_schedule const& schedule ) -> run_report;

/// The shortest schedule found, by leaving steps out, that still fails.
auto shorten( fault_schedule schedule ) -> fault_schedule;

}

#endif
