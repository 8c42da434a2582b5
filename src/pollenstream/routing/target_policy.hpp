#ifndef POLLENSTREAM_ROUTING_TARGET_POLICY_HPP
#define POLLENSTREAM_ROUTING_TARGET_POLICY_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/prefix_chain.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/profiles/priority.hpp>
#include <pollenstream/routing/target_table.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::routing
{

/// What the choice of a target depends on.
struct work_shape
{
    profiles::priority order{ profiles::priority::normal };
    std::int64_t prompt_tokens{ 0 };
    std::int64_t output_tokens{ 0 };
    core::prefix_chain prefixes;
    std::vector<core::data_centre_id> data_centres; ///< preferred, best first
    /// Targets that this request has tried already.
    std::vector<core::target_id> tried;
};

/// A chosen target with what is expected of it.
struct target_choice
{
    std::shared_ptr<target> chosen;
    core::duration first_token{ 0 }; ///< predicted, from now
    core::duration finish{ 0 };      ///< predicted, from now
    std::int64_t cached_tokens{ 0 }; ///< of the prompt, probably
    bool has_memory{ true };         ///< free there now, as far as known
};

/// A way to choose among targets. Implementations are called from many
/// threads at once and do not block.
class target_policy
{
public:
    virtual ~target_policy() = default;

    /// The target for `shape`, or nothing where no target can take it.
    virtual auto choose( target_list const& targets,
                         work_shape const& shape,
                         core::instant now )
        -> std::optional<target_choice> = 0;

    /// True where a part of a prompt of `prompt_tokens` may be placed.
    virtual auto may_place( target const& candidate,
                            std::int64_t prompt_tokens,
                            core::instant now ) -> bool;

    /// Tells the policy what it chose for, and when the first token came.
    virtual auto note_dispatch( target_choice const& choice,
                                work_shape const& shape,
                                core::instant now ) -> void;
    virtual auto note_first_token( target_choice const& choice,
                                   work_shape const& shape,
                                   core::duration took ) -> void;
    /// Takes over an engine's cache events.
    virtual auto note_cached( core::target_id const& at,
                              core::prefix_chain const& prefixes ) -> void;
};

/// Tokens of a target's memory that a prompt of that length may take up.
auto most_memory_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t;
/// Tokens of memory that such a prompt has to leave free.
auto memory_margin_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t;

/// True where `candidate` may get this work: alive, not tried, and with
/// memory in all for prompt and output.
auto can_take( target const& candidate, work_shape const& shape ) -> bool;

}

#endif
