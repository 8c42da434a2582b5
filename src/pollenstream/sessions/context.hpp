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

/// Dependencies and counters that all sessions of a process share. Must outlive
/// every session.
struct context
{
    context( ports::memory_owner owner,
             ports::clock& clock_port,
             ports::timer& timer_port,
             ports::engine_client& engine_port,
             routing::target_table& target_table,
             routing::target_policy& target_policy,
             admission::retry_budget& retry_budget,
             metrics::request_metrics& request_metrics );

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

    /// Returns a request id that is unique over all instances and their
    /// incarnations.
    auto new_request_id() -> core::request_id;
};

}

#endif
