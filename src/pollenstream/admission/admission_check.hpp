#ifndef POLLENSTREAM_ADMISSION_ADMISSION_CHECK_HPP
#define POLLENSTREAM_ADMISSION_ADMISSION_CHECK_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/routing/target_table.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace pollenstream::admission
{

/// What all living targets of a service can do together.
struct service_capacity
{
    std::int64_t alive{ 0 };
    std::int64_t memory_tokens{ 0 };
    double prefill_rate{ 0 }; ///< tokens a second
};

/// What a request asks of a service.
struct admission_demand
{
    core::token_count prompt;
    core::token_count output;
    core::duration time_left{ 0 };
};

/// Why a request is not admitted; nothing of it has been run.
struct admission_refusal
{
    std::string reason;
    std::string detail;
    std::optional<core::duration> retry_after; ///< absent: never
};

auto capacity_of( routing::target_list const& targets ) -> service_capacity;

/// Refuses what no target, or all of them together, can hold or read in time.
auto check_capacity( service_capacity const& capacity,
                     admission_demand const& demand )
    -> std::optional<admission_refusal>;

/// Refuses what is predicted to end too late.
auto check_time( core::duration predicted_finish, core::duration time_left )
    -> std::optional<admission_refusal>;

/// How long a caller waits before it asks a service without targets again.
inline constexpr auto retry_without_target =
    core::duration( std::chrono::seconds( 2 ) );

}

#endif
