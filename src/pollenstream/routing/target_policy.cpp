#include <pollenstream/routing/size_class.hpp>
#include <pollenstream/routing/target_policy.hpp>

#include <algorithm>

namespace pollenstream::routing
{

namespace
{

/// Share of a target's memory that one large prompt may hold. A larger one is
/// split over several targets, which prefill their parts at the same time.
constexpr auto max_large_prompt_share = 0.5;
/// Share of a target's memory that large prompts leave free for short ones,
/// which would otherwise wait until a long answer ends.
constexpr auto large_prompt_margin = 0.15;

}

auto target_policy::may_place( target const&, std::int64_t, core::instant )
    -> bool
{
    return true;
}

auto target_policy::note_dispatch( target_choice const&,
                                   request_shape const&,
                                   core::instant ) -> void
{
}

auto target_policy::note_first_token( target_choice const&,
                                      request_shape const&,
                                      core::duration ) -> void
{
}

auto target_policy::note_cached( core::target_id const&,
                                 core::prefix_chain const& ) -> void
{
}

auto max_memory_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t
{
    auto const total = candidate.total_memory();
    if ( size_class_of( prompt_tokens ) != size_class::large )
        return total;
    return static_cast<std::int64_t>( max_large_prompt_share *
                                      static_cast<double>( total ) );
}

auto memory_margin_for( target const& candidate, std::int64_t prompt_tokens )
    -> std::int64_t
{
    if ( size_class_of( prompt_tokens ) != size_class::large )
        return 0;
    return static_cast<std::int64_t>(
        large_prompt_margin * static_cast<double>( candidate.total_memory() ) );
}

auto can_take( target const& candidate, request_shape const& shape ) -> bool
{
    if ( candidate.phase() != target_phase::alive )
        return false;
    auto const needed = shape.prompt_tokens + shape.output_tokens;
    if ( needed > max_memory_for( candidate, shape.prompt_tokens ) )
        return false;
    if ( shape.tried.empty() )
        return true;
    return std::find( shape.tried.begin(), shape.tried.end(),
                      candidate.identity().id ) == shape.tried.end();
}

}
