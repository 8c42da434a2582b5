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

/// Longest reading that may wait at the engine that answers a long prompt. It
/// reads that prompt after all that it reads for others.
inline constexpr auto max_backlog_ms = 1'500.0;

/// The platform's engines take so many helpers at most beside the first.
inline constexpr auto max_helpers = std::size_t{ 16 };

/// Memory in tokens that each of `parts` engines holds of a prompt.
constexpr auto part_memory( std::int64_t memory, std::size_t parts )
    -> std::int64_t
{
    return memory / static_cast<std::int64_t>( parts ) + 1;
}

/// An engine that may read a part of a long prompt.
struct prefill_candidate
{
    std::shared_ptr<target_entry> target;
    double backlog_ms{ 0 };
    double harm{ 0 };  ///< weight of the requests whose pauses would be late
    double tight{ 0 }; ///< weight of the requests that tolerate least
};

/// A way to divide a long prompt among engines; the first writes.
struct division
{
    std::vector<prefill_candidate> engines;
    double part_ms{ 0 };
    double finish_ms{ 0 }; ///< when the last part is read
};

/// What a placement may cost others.
struct harm_limit
{
    double weight{ 0 };    ///< that may be made late to have this one in time
    double until_ms{ 0 };  ///< when it has to be read to be in time
    double latest_ms{ 0 }; ///< when it has to be read if it takes all engines
    double engines{ 0 };   ///< that could take it
    double max_parts{ 0 }; ///< into which a prompt may be divided
    /// Reading time of the whole prompt; zero while others wait.
    double alone_ms{ 0 };
    bool is_late{ false }; ///< it is past its objective
    /// A division into more parts has to end this much sooner for each.
    double part_cost_ms{ 0 };
};

/// The reader that `t` would be for a part of `part_ms`, with what that does to
/// the requests there.
auto prefill_candidate_of( engine_speed const& speed,
                           std::shared_ptr<target_entry> const& t,
                           double part_ms,
                           core::instant now ) -> prefill_candidate;

/// The engines that may read a part for another, best first; each has
/// `memory` free and nothing to read.
///
/// An engine reads for others before it reads for itself, and what came last
/// first, so that a part which joins delays all that came before it: of 53
/// prompts of 24,000 tokens and more that were late though predicted in time,
/// 43 had been overtaken so by parts of 1 to 1.5 s (78 engines, three calm
/// days). To wait for engines that are free, instead of joining in the first
/// 250 ms or being sent to booked ones, gains 0.03 of worth there (eight calm
/// days; error 0.009); on 14 to 18 engines it is within the error of 0.006 (30
/// days with trouble).
auto prefill_candidates_of(
    engine_speed const& speed,
    std::vector<std::shared_ptr<target_entry>> const& targets,
    double part_ms,
    std::int64_t memory,
    core::instant now ) -> std::vector<prefill_candidate>;

/// Least harm, then away from those who tolerate least, then where little is
/// read, then where most is written already, so that other engines stay free
/// to read.
auto writes_better( prefill_candidate const& a, prefill_candidate const& b )
    -> bool;

/// Nothing while the request can wait, and nothing once it is late itself, but
/// for the last chance: an answer that never comes is worse than a few late
/// ones.
auto harm_allowed( placement_demand const& demand, std::size_t engines )
    -> harm_limit;

/// Puts the division of a prompt among `engines` into `best` if it harms no
/// more than `limit` and ends sooner by more than its parts cost.
auto take_better( std::optional<division>& best,
                  std::vector<prefill_candidate> engines,
                  double part_ms,
                  harm_limit limit ) -> void;

}

#endif
