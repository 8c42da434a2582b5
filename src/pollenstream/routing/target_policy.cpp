#include <pollenstream/routing/target_policy.hpp>

#include <algorithm>

namespace pollenstream::routing
{

auto target_policy::note_dispatch( target_choice const&,
                                   work_shape const&,
                                   core::instant ) -> void
{
}

auto target_policy::note_first_token( target_choice const&,
                                      work_shape const&,
                                      core::duration ) -> void
{
}

auto target_policy::note_cached( core::target_id const&,
                                 core::prefix_chain const& ) -> void
{
}

auto can_take( target const& candidate, work_shape const& shape ) -> bool
{
    if ( candidate.phase() != target_phase::alive )
        return false;
    if ( shape.prompt_tokens + shape.output_tokens > candidate.total_memory() )
        return false;
    if ( shape.tried.empty() )
        return true;
    return std::find( shape.tried.begin(), shape.tried.end(),
                      candidate.identity().id ) == shape.tried.end();
}

}
