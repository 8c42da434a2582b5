#ifndef SOAK_FAULT_SCHEDULE_HPP
#define SOAK_FAULT_SCHEDULE_HPP

#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace soak
{

namespace core = pollenstream::core;

/// What happens in a run.
enum class step_kind
{
    send,    ///< a caller sends a request
    go_away, ///< a caller closes its connection
    kill,    ///< an engine's process ends and is started anew a second later
    cut,     ///< an engine's connections break
    silence, ///< an engine's connections carry nothing any more
    hang,    ///< an engine answers nothing for three seconds
    leave,   ///< an engine is called leaving for three seconds
    lose_instance, ///< an instance ends: nobody runs its timers or sessions
};

inline constexpr auto step_kinds = 8;

auto name_of( step_kind kind ) -> std::string_view;

/// One thing that happens, at a time from the start of the run.
struct schedule_step
{
    core::duration at{ 0 };
    step_kind kind{ step_kind::send };
    std::uint64_t which{ 0 }; ///< draws the engine, instance or caller
    std::int64_t tokens{ 0 }; ///< of a request's prompt
};

/// What one run consists of.
struct fault_schedule
{
    std::uint64_t seed{ 0 };
    int engines{ 0 };
    int instances{ 0 };
    std::vector<schedule_step> steps; ///< in order of time
};

/// The schedule of a seed; equal seeds have equal schedules.
auto draw_schedule( std::uint64_t seed ) -> fault_schedule;

/// A line for each step.
auto to_string( fault_schedule const& schedule ) -> std::string;

}

#endif
