#ifndef POLLENSTREAM_EXCHANGE_CONTEXT_HPP
#define POLLENSTREAM_EXCHANGE_CONTEXT_HPP

#include <pollenstream/core/bounded_text.hpp>
#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/name_counts.hpp>
#include <pollenstream/exchange/crash_history.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/handover.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/memory_queue.hpp>
#include <pollenstream/exchange/message.hpp>
#include <pollenstream/exchange/placement.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/reservation.hpp>
#include <pollenstream/exchange/routes.hpp>
#include <pollenstream/exchange/shared_retry_budget.hpp>
#include <pollenstream/exchange/target_path.hpp>
#include <pollenstream/exchange/wait_queue.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <unordered_set>

namespace pollenstream::exchange
{

class exchange;

/// What the end of a request's work shows about its target.
enum class work_outcome
{
    none, ///< nothing: it was cancelled, or its failure is reported separately
    served, ///< the answer is complete
};

/// Announces this instance's open work to the coordinators, and the state of
/// targets and contents that has changed to all instances.
class work_announcer
{
public:
    virtual ~work_announcer() = default;
    virtual auto work_began( open_work const& work ) -> void = 0;
    virtual auto prefill_ended( std::uint64_t serial ) -> void = 0;
    virtual auto work_ended( std::uint64_t serial, work_outcome outcome )
        -> void = 0;
    virtual auto target_failed( target_ref const& ref, target_failure how )
        -> void = 0;
    virtual auto target_ejected( target_ref const& ref, core::duration time )
        -> void = 0;
    /// The target has announced in an answer that it is leaving.
    virtual auto target_leaves( target_ref const& ref ) -> void = 0;
    /// The limit that the target names in its answers has changed.
    virtual auto target_limited( target_ref const& ref, limit_change change )
        -> void = 0;
    /// An attempt broke off at a target, which it may have crashed.
    virtual auto run_crashed( crashed_run const& what ) -> void = 0;
    /// Requests with these suspects have been served. `is_urgent`: others know
    /// of crashes with one of them; else the report may wait for another one.
    virtual auto suspects_served( suspect_list const& suspects, bool is_urgent )
        -> void = 0;
};

/// Counters over all requests of this instance.
struct exchange_counters
{
    core::counter requests;
    core::counter served;
    core::counter refused;
    core::counter failed;
    core::counter caller_gone; ///< the caller closed its connection
    core::counter retries;
    core::counter resumed;
    core::counter handed_over;      ///< to other instances, each time
    core::counter handover_refused; ///< those that the others did not take
    core::counter handover_lost;    ///< those that ended without an answer
    core::counter taken_over;       ///< from other instances
    core::counter path_probes; ///< connections to learn of the path to targets
    core::counter internal_errors; ///< requests ended because a handler threw
    /// Answers without a length or chunks, which end with their connection.
    core::counter ended_by_close;
    /// Unknown headers in the answers of targets, by name.
    core::name_counts unknown_headers;
};

/// When a process that has been told to end stops.
struct planned_stop
{
    core::instant callers_know_at; ///< all callers know of the stop by then
    core::instant ends_at;         ///< the process must have ended by then
};

/// State shared by all exchanges of one instance. Lives as long as the process.
/// Only the thread that runs the requests uses it.
struct exchange_context
{
    ports::scheduler& scheduler;
    target_client& targets;
    target_probe& probe;
    request_encoder const& encoder;
    reservation_client& reservations;
    load_table& loads;
    crash_history& crashes;
    placement& chooser;           ///< chooses targets without the coordinator
    placement_client& placements; ///< requests targets from the coordinator
    shared_retry_budget& retries;
    target_path& path;
    handover_client* handovers{ nullptr }; ///< null: none is handed over
    /// For the answers of targets that are kept until they are complete.
    std::shared_ptr<core::memory_budget> answer_memory;
    /// Those that find no memory there.
    memory_queue answers_without_memory{ scheduler, answer_memory };
    wait_queue& queue;
    event_log& log;
    work_announcer& announcer;
    core::instance_id self;
    core::incarnation incarnation;   ///< of this process
    configuration_ptr configuration; ///< null until one is known
    std::optional<planned_stop> stop;
    std::uint64_t last_serial{ 0 };
    /// All exchanges that have not ended. Each removes itself at its end.
    std::unordered_set<exchange*> open;
    exchange_counters counters;
    std::minstd_rand random;
};

}

#endif
