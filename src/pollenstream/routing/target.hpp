#ifndef POLLENSTREAM_ROUTING_TARGET_HPP
#define POLLENSTREAM_ROUTING_TARGET_HPP

#include <pollenstream/core/address.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/engine.hpp>
#include <pollenstream/profiles/priority.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// The properties of a target that stay the same for its lifetime.
struct target_identity
{
    core::target_id id;
    core::service_id service;
    core::data_centre_id data_centre;
    core::address address;
};

/// Whether a target may get new work.
enum class target_phase : int
{
    alive,
    suspect, ///< a recent call failed; gets only probes
    leaving, ///< finishes its open requests, gets no new ones
    gone,
};

/// Name in state dumps: `alive`, `suspect`, `leaving` or `gone`.
auto name_of( target_phase phase ) -> std::string_view;

/// Load that one dispatch adds to a target.
struct dispatched_work
{
    profiles::priority priority{ profiles::priority::normal };
    std::int64_t prompt_tokens{ 0 }; ///< prompt tokens that are not cached
    std::int64_t memory_tokens{ 0 }; ///< KV memory for prompt and output
};

/// A target and its known load: its last load report, and this instance's
/// dispatches, some of which the report does not include yet. All members are
/// read and written without a lock.
class target
{
public:
    explicit target( target_identity identity );

    [[nodiscard]] auto identity() const noexcept -> target_identity const&
    {
        return identity_;
    }

    /// Destination of calls to this target.
    [[nodiscard]] auto endpoint() const -> ports::engine_endpoint
    {
        return { identity_.id, identity_.address };
    }

    /// Position of this target in a pseudo-random order of all targets, from 0
    /// to 1; a hash of the id, so the same on every instance.
    [[nodiscard]] auto rank() const noexcept -> double
    {
        return rank_;
    }

    [[nodiscard]] auto phase() const noexcept -> target_phase;
    /// Sets the phase and returns the previous one.
    auto set_phase( target_phase next, core::instant now ) noexcept
        -> target_phase;
    /// Time since the phase last changed.
    [[nodiscard]] auto phase_age( core::instant now ) const noexcept
        -> core::duration;
    /// False once a target has been leaving or gone for longer than a request
    /// can take from the choice of its target to the send. Checked at the send;
    /// the choice itself only considers alive targets.
    [[nodiscard]] auto may_get_work( core::instant now ) const noexcept -> bool;

    /// Takes over a load report received at `received`, unless it was measured
    /// before the last one.
    auto take_report( ports::load_report const& report, core::instant received )
        -> void;
    /// Adds the load of a request; called before the request is sent.
    auto add_dispatch( dispatched_work const& work ) -> void;
    /// Removes the prompt tokens, after the first token has arrived.
    auto end_prefill( dispatched_work const& work ) -> void;
    /// Removes the memory and the open request of an ended dispatch; its prompt
    /// tokens are removed by `end_prefill`.
    auto end_dispatch( dispatched_work const& work ) -> void;

    /// Prompt tokens that are prefilled before a request of that priority sent
    /// at `now`: those of its own and of more urgent priorities.
    [[nodiscard]] auto backlog_before( profiles::priority priority,
                                       core::instant now ) const
        -> std::int64_t;
    /// Free KV memory in tokens, less that of own dispatches the report does
    /// not include.
    [[nodiscard]] auto free_memory() const -> std::int64_t;
    [[nodiscard]] auto total_memory() const -> std::int64_t;
    [[nodiscard]] auto prefill_rate() const -> double;
    [[nodiscard]] auto decode_rate() const -> double;
    [[nodiscard]] auto step_seconds() const -> double;
    /// Length of a batch step full of prefill: the longest reported step, which
    /// decays with each report.
    [[nodiscard]] auto full_step_seconds() const -> double;
    /// Prompt tokens still to be prefilled, of all priorities.
    [[nodiscard]] auto backlog( core::instant now ) const -> std::int64_t;
    /// Open requests of this instance at the target.
    [[nodiscard]] auto open_requests() const -> std::int64_t;
    [[nodiscard]] auto reported_requests() const -> std::int64_t;
    /// Time since the last report was measured.
    [[nodiscard]] auto report_age( core::instant now ) const -> core::duration;
    /// Notes that the target's load was polled.
    auto note_probe( core::instant now ) -> void;
    /// Time since the last report or poll, whichever is later.
    [[nodiscard]] auto probe_age( core::instant now ) const -> core::duration;

private:
    /// Prompt tokens of one priority.
    struct priority_load
    {
        std::atomic<std::int64_t> reported{ 0 };
        /// Dispatched by this instance and without a first token.
        std::atomic<std::int64_t> own_prefill{ 0 };
        /// Dispatched by this instance since the last report.
        std::atomic<std::int64_t> sent_since_report{ 0 };
    };

    target_identity identity_;
    double rank_;
    std::atomic<target_phase> phase_{ target_phase::alive };
    std::atomic<std::int64_t> phase_since_us_{ 0 };
    std::array<priority_load, profiles::priority_count> load_;
    std::atomic<std::int64_t> measured_at_us_{ 0 };
    std::atomic<std::int64_t> probed_at_us_{ 0 };
    std::atomic<std::int64_t> memory_used_{ 0 };
    std::atomic<std::int64_t> memory_total_{ 0 };
    std::atomic<std::int64_t> own_memory_{ 0 };
    std::atomic<std::int64_t> memory_sent_since_report_{ 0 };
    std::atomic<std::int64_t> open_requests_{ 0 };
    std::atomic<std::int64_t> reported_requests_{ 0 };
    std::atomic<double> prefill_rate_;
    std::atomic<double> decode_rate_;
    std::atomic<double> step_seconds_{ 0 };
    std::atomic<double> full_step_seconds_{ 0 };
};

}

#endif
