#ifndef POLLENSTREAM_EXCHANGE_PROMPT_DIVISION_HPP
#define POLLENSTREAM_EXCHANGE_PROMPT_DIVISION_HPP

#include <pollenstream/exchange/placement.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pollenstream::exchange
{

/// Prompts are divided until their parts are shorter than this. Even shorter
/// parts gain little, as each of them also costs a decode pass.
inline constexpr auto preferred_part_ms = 180.0;

/// Largest backlog of an engine that may become the decode target of a long
/// prompt. It prefills that prompt after all parts for other engines.
inline constexpr auto max_decode_target_backlog_ms = 1'500.0;

/// The platform's engines accept at most this many helpers per prompt, not
/// counting the decode target.
inline constexpr auto max_helpers = std::size_t{ 16 };

/// KV memory in tokens that a request takes at each of `parts` engines when its
/// `memory` is spread over them.
constexpr auto part_memory( std::int64_t memory, std::size_t parts )
    -> std::int64_t
{
    return memory / static_cast<std::int64_t>( parts ) + 1;
}

/// An engine that may prefill a part of a long prompt.
struct prefill_candidate
{
    std::shared_ptr<target_entry> target;
    double backlog_ms{ 0 };
    /// Weight of the requests there whose pauses would get too long.
    double delayed_weight{ 0 };
    /// Weight of the requests there that tolerate only short pauses.
    double interactive_weight{ 0 };
};

/// A way to divide a long prompt among engines; the first one decodes.
struct division
{
    std::vector<prefill_candidate> engines;
    double part_ms{ 0 };
    double finish_ms{ 0 }; ///< predicted end of the last part, from now
};

/// Limits of a division, which bound the delay of other requests. Times are
/// counted from now.
struct division_limits
{
    /// Weight of other requests that may be made late if this one is in time.
    double max_delayed_weight{ 0 };
    double on_time_finish_ms{ 0 }; ///< end of prefill that is still in time
    /// Latest end of prefill if all engines take a part.
    double all_engines_finish_ms{ 0 };
    double engine_count{ 0 }; ///< engines that could take a part
    double max_parts{ 0 };
    /// Prefill time of the whole prompt on one engine; 0 while other split
    /// prompts wait.
    double only_split_prefill_ms{ 0 };
    bool is_late{ false }; ///< the request is past its latency objective
    /// Each additional part has to end the prefill this much sooner.
    double part_cost_ms{ 0 };
};

/// The candidate that `t` is for a part of `part_ms`, with the weight of the
/// requests that the part would delay there.
auto prefill_candidate_of( engine_speed const& speed,
                           std::shared_ptr<target_entry> const& t,
                           double part_ms,
                           core::instant now ) -> prefill_candidate;

/// The engines that may prefill a part for another engine, best first. Each has
/// `memory` free and nothing to prefill.
///
/// Engines with a backlog are left out: an engine prefills parts for other
/// engines before its own prompts, and the latest part first. A part that joins
/// would delay all earlier ones by up to 1.5 s and make prompts late that were
/// predicted in time.
auto prefill_candidates_of(
    engine_speed const& speed,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    double part_ms,
    std::int64_t memory,
    core::instant now ) -> std::vector<prefill_candidate>;

/// Orders decode targets by the weight of delayed requests, then by the weight
/// of interactive requests, then by whether their backlog is short; then those
/// with the most requests come first, so that other engines stay free for
/// prefill.
auto is_better_decode_target( prefill_candidate const& a,
                              prefill_candidate const& b ) -> bool;

/// The limits of a division for `demand` with `engines` engines. Other requests
/// may be made late neither while this one can wait nor once it is late itself,
/// except shortly before its caller leaves, as an answer that never comes is
/// worse than a few late ones.
auto division_limits_for( placement_demand const& demand, std::size_t engines )
    -> division_limits;

/// Replaces `best` by the division of a prompt among `engines` if that is
/// within `limits` and ends sooner by more than the cost of its additional
/// parts.
auto keep_if_better( std::optional<division>& best,
                     std::vector<prefill_candidate> engines,
                     double part_ms,
                     division_limits limits ) -> void;

}

#endif
