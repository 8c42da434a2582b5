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

/// What a target is; it does not change while the target lives.
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
    suspect, ///< calls failed lately; only probes go there
    leaving, ///< finishes what it has
    gone,
};

/// Name in dumps: `alive`, `suspect`, `leaving` or `gone`.
auto name_of( target_phase phase ) -> std::string_view;

/// Tokens of prompt that one dispatch adds to a target.
struct dispatched_work
{
    profiles::priority order{ profiles::priority::normal };
    std::int64_t prompt_tokens{ 0 }; ///< tokens that are not cached there
    std::int64_t memory_tokens{ 0 }; ///< KV memory for prompt and output
};

/// A target with what is known of its load: its last report, and this
/// instance's own dispatches, which the report cannot know yet. All members
/// are read and written without a lock.
class target
{
public:
    explicit target( target_identity identity );

    [[nodiscard]] auto identity() const noexcept -> target_identity const&
    {
        return identity_;
    }

    /// Where calls to it go.
    [[nodiscard]] auto endpoint() const -> ports::engine_endpoint
    {
        return { identity_.id, identity_.address };
    }

    /// Place of this target in a fixed random order of all targets, from 0 to
    /// 1; the same on every instance.
    [[nodiscard]] auto rank() const noexcept -> double
    {
        return rank_;
    }

    [[nodiscard]] auto phase() const noexcept -> target_phase;
    /// Sets the phase and gives the former one back.
    auto set_phase( target_phase next, core::instant now ) noexcept
        -> target_phase;
    /// How long the target has been in its present phase.
    [[nodiscard]] auto phase_age( core::instant now ) const noexcept
        -> core::duration;
    /// False for a target that is gone, or has been leaving for longer than
    /// a choice made before can take to be sent.
    [[nodiscard]] auto may_get_work( core::instant now ) const noexcept -> bool;

    /// Takes over a load report that was read at `received`.
    auto take_report( ports::load_report const& report, core::instant received )
        -> void;
    /// Counts work as sent, before the send.
    auto add_dispatch( dispatched_work const& work ) -> void;
    /// Takes prompt tokens off again once the first token has come.
    auto end_prefill( dispatched_work const& work ) -> void;
    /// Takes the dispatch off altogether.
    auto end_dispatch( dispatched_work const& work ) -> void;

    /// Tokens to be read before a request of priority `order` sent at `now`.
    [[nodiscard]] auto backlog_before( profiles::priority order,
                                       core::instant now ) const
        -> std::int64_t;
    /// Free KV memory in tokens, own dispatches taken off.
    [[nodiscard]] auto free_memory() const -> std::int64_t;
    [[nodiscard]] auto total_memory() const -> std::int64_t;
    [[nodiscard]] auto prefill_rate() const -> double;
    [[nodiscard]] auto decode_rate() const -> double;
    [[nodiscard]] auto step_seconds() const -> double;
    /// Length of a batch step that is full of prompt, as seen lately.
    [[nodiscard]] auto full_step_seconds() const -> double;
    /// Prompt tokens to be read there, of all priorities.
    [[nodiscard]] auto backlog( core::instant now ) const -> std::int64_t;
    /// Requests of this instance that are open there.
    [[nodiscard]] auto open_requests() const -> std::int64_t;
    [[nodiscard]] auto reported_requests() const -> std::int64_t;
    [[nodiscard]] auto report_age( core::instant now ) const -> core::duration;
    /// Notes that the target was asked for a report.
    auto note_probe( core::instant now ) -> void;
    /// Time since the last report, or since it was asked for one.
    [[nodiscard]] auto probe_age( core::instant now ) const -> core::duration;

private:
    struct class_load
    {
        std::atomic<std::int64_t> reported{ 0 };
        std::atomic<std::int64_t> own_pending{ 0 };
        std::atomic<std::int64_t> sent_since_report{ 0 };
    };

    target_identity identity_;
    double rank_;
    std::atomic<target_phase> phase_{ target_phase::alive };
    std::atomic<std::int64_t> phase_since_us_{ 0 };
    std::array<class_load, profiles::priority_count> load_;
    std::atomic<std::int64_t> taken_at_us_{ 0 };
    std::atomic<std::int64_t> probed_at_us_{ 0 };
    std::atomic<std::int64_t> memory_used_{ 0 };
    std::atomic<std::int64_t> memory_total_{ 0 };
    std::atomic<std::int64_t> own_memory_{ 0 };
    std::atomic<std::int64_t> memory_sent_since_report_{ 0 };
    std::atomic<std::int64_t> open_requests_{ 0 };
    std::atomic<std::int64_t> requests_{ 0 };
    std::atomic<double> prefill_rate_;
    std::atomic<double> decode_rate_;
    std::atomic<double> step_seconds_{ 0 };
    std::atomic<double> full_step_seconds_{ 0 };
};

}

#endif
