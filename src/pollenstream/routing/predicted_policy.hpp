#ifndef POLLENSTREAM_ROUTING_PREDICTED_POLICY_HPP
#define POLLENSTREAM_ROUTING_PREDICTED_POLICY_HPP

#include <pollenstream/routing/clear_share.hpp>
#include <pollenstream/routing/prefix_index.hpp>
#include <pollenstream/routing/target_policy.hpp>

#include <atomic>
#include <cstdint>

namespace pollenstream::routing
{

/// Parts of the policy that can be switched off, to measure what each is
/// worth.
struct predicted_options
{
    bool use_backlog{ true };     ///< predict from tokens, else open requests
    bool use_clear_share{ true }; ///< keep targets clear of long prompts
    bool use_affinity{ true };    ///< prefer where the prefix is cached
    bool use_spread{ true }; ///< draw among the nearly best, else take the best
    std::uint64_t seed{ 1 };
};

/// Chooses a target whose first token is predicted to come first. It draws
/// among the nearly best, which keeps instances that have the same late
/// reports from all choosing the same idle target.
class predicted_policy : public target_policy
{
public:
    explicit predicted_policy( predicted_options options );

    auto choose( target_list const& targets,
                 work_shape const& shape,
                 core::instant now ) -> std::optional<target_choice> override;
    auto note_dispatch( target_choice const& choice,
                        work_shape const& shape,
                        core::instant now ) -> void override;
    auto note_cached( core::target_id const& at,
                      core::prefix_chain const& prefixes ) -> void override;

    auto may_place( target const& candidate,
                    std::int64_t prompt_tokens,
                    core::instant now ) -> bool override;

private:
    struct search;
    struct scored_target;

    auto score( search const& state,
                std::shared_ptr<target> const& candidate ) const
        -> std::optional<scored_target>;
    auto collect( search& state, target_list const& targets ) -> void;
    auto near_width( search const& state ) const -> double;
    auto draw_among_best( search const& state ) -> scored_target;
    auto next_random() -> std::uint64_t;

    predicted_options options_;
    clear_share clear_share_;
    prefix_index prefixes_;
    std::atomic<std::uint64_t> random_;
};

}

#endif
