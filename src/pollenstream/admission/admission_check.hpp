#ifndef POLLENSTREAM_ADMISSION_ADMISSION_CHECK_HPP
#define POLLENSTREAM_ADMISSION_ADMISSION_CHECK_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/target_table.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace pollenstream::admission
{

/// Combined capacity of all live targets of a service.
struct service_capacity
{
    std::int64_t alive{ 0 }; ///< number of targets
    std::int64_t memory_tokens{ 0 };
    double prefill_rate{ 0 }; ///< tokens per second
};

/// Resources that a request needs.
struct admission_demand
{
    core::token_count prompt;
    core::token_count output;
    core::duration time_left{ 0 };
};

/// Why a request is not admitted. No part of it has been run.
struct admission_refusal
{
    std::string reason;
    std::string detail;
    std::optional<core::duration> retry_after; ///< absent: do not retry
};

/// Returns the combined capacity of the targets that are alive.
auto capacity_of( routing::target_list const& targets ) -> service_capacity;

/// Refuses a request if no target is alive, if its tokens do not fit into the
/// combined memory of all targets, or if their combined prefill rate is too low
/// for its deadline.
auto check_capacity( service_capacity const& capacity,
                     admission_demand const& demand )
    -> std::optional<admission_refusal>;

/// Refuses a request if `predicted_finish` comes too close to its deadline or
/// after it.
auto check_time( core::duration predicted_finish, core::duration time_left )
    -> std::optional<admission_refusal>;

/// Retry-after time of a service that has no targets.
inline constexpr auto retry_without_target =
    core::duration( std::chrono::seconds( 2 ) );

}

#endif
