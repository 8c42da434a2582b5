#ifndef POLLENSTREAM_SESSIONS_CONTEXT_HPP
#define POLLENSTREAM_SESSIONS_CONTEXT_HPP

#include <pollenstream/admission/retry_budget.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/metrics/request_metrics.hpp>
#include <pollenstream/ports/clock.hpp>
#include <pollenstream/ports/engine.hpp>
#include <pollenstream/routing/target_policy.hpp>
#include <pollenstream/routing/target_table.hpp>

#include <atomic>
#include <cstdint>

namespace pollenstream::sessions
{

/// What all sessions of a process share. Outlives every session.
struct context
{
    context( ports::memory_owner owner,
             ports::clock& time,
             ports::timer& alarms,
             ports::engine_client& engine_calls,
             routing::target_table& target_list,
             routing::target_policy& target_choice,
             admission::retry_budget& retry_credit,
             metrics::request_metrics& measures );

    ports::memory_owner self;
    ports::clock& clock;
    ports::timer& timer;
    ports::engine_client& engines;
    routing::target_table& targets;
    routing::target_policy& policy;
    admission::retry_budget& retries;
    metrics::request_metrics& metrics;
    std::atomic<std::uint64_t> next_request{ 1 };
    std::atomic<std::int64_t> open_sessions{ 0 };

    /// A request id that no other incarnation of any instance gives out.
    auto new_request_id() -> core::request_id;
};

}

#endif
