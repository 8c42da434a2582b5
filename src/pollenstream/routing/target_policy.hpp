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

/// The properties of a request that the choice of a target depends on.
struct request_shape
{
    profiles::priority priority{ profiles::priority::normal };
    std::int64_t prompt_tokens{ 0 };
    std::int64_t output_tokens{ 0 };
    core::prefix_chain prefixes;
    /// Preferred data centres, best first; empty for no preference.
    std::vector<core::data_centre_id> data_centres;
    /// Targets that already had an attempt of this request.
    std::vector<core::target_id> tried;
};

/// A chosen target and the predictions for the request there.
struct target_choice
{
    std::shared_ptr<target> chosen;
    core::duration first_token{ 0 }; ///< predicted, from now
    core::duration finish{ 0 };      ///< predicted, from now
    std::int64_t cached_tokens{ 0 }; ///< prompt tokens probably cached there
    bool has_memory{ true };         ///< enough KV memory is probably free
};

/// Strategy for the choice of a target. Implementations are called from many
/// threads at once and must not block.
class target_policy
{
public:
    virtual ~target_policy() = default;

    /// The target for a request, or nothing if no target can take it.
    virtual auto choose( target_list const& targets,
                         request_shape const& shape,
                         core::instant now )
        -> std::optional<target_choice> = 0;

    /// False for a target that a split prompt of `prompt_tokens` should avoid
    /// as long as other targets suffice.
    virtual auto may_place( target const& candidate,
                            std::int64_t prompt_tokens,
                            core::instant now ) -> bool;

    /// Tells the policy that a request is sent to the chosen target.
    virtual auto note_dispatch( target_choice const& choice,
                                request_shape const& shape,
                                core::instant now ) -> void;
    /// Tells the policy how long the first token of a request took.
    virtual auto note_first_token( target_choice const& choice,
                                   request_shape const& shape,
                                   core::duration elapsed ) -> void;
    /// Tells the policy which prefixes an engine has cached lately.
    virtual auto note_cached( core::target_id const& engine,
                              core::prefix_chain const& prefixes ) -> void;
};

/// KV memory in tokens that a request with a prompt of `prompt_tokens` may hold
/// at `candidate`, answer included.
auto max_memory_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t;
/// KV memory in tokens that such a request must leave free.
auto memory_margin_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t;

/// True if `candidate` may get this request: it is alive, has had no attempt of
/// it, and its total memory suffices for prompt and output.
auto can_take( target const& candidate, request_shape const& shape ) -> bool;

}

#endif
