#ifndef POLLENSTREAM_ROUTING_PREDICTED_POLICY_HPP
#define POLLENSTREAM_ROUTING_PREDICTED_POLICY_HPP

#include <pollenstream/routing/prefix_index.hpp>
#include <pollenstream/routing/reserved_share.hpp>
#include <pollenstream/routing/target_policy.hpp>

#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// Parts of the policy that the benchmark can switch off one by one.
struct predicted_options
{
    /// Score by the predicted time to first token, else by open requests.
    bool use_backlog{ true };
    /// Reserve a share of the targets for shorter prompts.
    bool use_reserved_share{ true };
    /// Prefer the target that has cached a prefix of the prompt.
    bool use_affinity{ true };
    /// Draw among the nearly best targets, else take the best.
    bool use_spread{ true };
    std::uint64_t seed{ 1 };
};

/// Chooses a target with about the shortest predicted time to first token. It
/// draws among the nearly best, so that instances with the same outdated load
/// reports do not all choose the same idle target.
class predicted_policy : public target_policy
{
public:
    explicit predicted_policy( predicted_options options );

    auto choose( target_list const& targets,
                 request_shape const& shape,
                 core::instant now ) -> std::optional<target_choice> override;
    auto note_dispatch( target_choice const& choice,
                        request_shape const& shape,
                        core::instant now ) -> void override;
    auto note_cached( core::target_id const& engine,
                      core::prefix_chain const& prefixes ) -> void override;

    auto may_place( target const& candidate,
                    std::int64_t prompt_tokens,
                    core::instant now ) -> bool override;

private:
    /// Inputs and scored targets of one choice.
    struct search_state;
    struct scored_target;

    auto score( search_state const& state,
                std::shared_ptr<target> const& candidate ) const
        -> std::optional<scored_target>;
    auto score_candidates( search_state& state, target_list const& targets )
        -> void;
    /// Score above the best up to which a target is nearly best.
    auto near_best_margin( search_state const& state ) const -> double;
    auto draw_near_best( search_state const& state ) -> scored_target;
    auto next_random() -> std::uint64_t;

    predicted_options options_;
    reserved_share reserved_share_;
    prefix_index prefixes_;
    std::atomic<std::uint64_t> random_;
};

}

#endif
