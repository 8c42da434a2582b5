#include <pollenstream/admission/workspace_limits.hpp>

#include <algorithm>

namespace pollenstream::admission
{

namespace
{

constexpr auto burst_seconds = 2.0;
/// Minimum share that an instance grants. A caller whose requests reach an
/// instance that is not a limit owner of its workspace is throttled, but not
/// refused altogether.
constexpr auto min_share = 0.01;

}

auto workspace_limits::take( profiles::workspace const& limits,
                             double share,
                             core::token_count prompt_tokens,
                             core::instant now ) -> core::duration
{
    auto const no_wait = core::duration( 0 );
    if ( limits.requests_per_second == 0 && limits.tokens_per_second == 0 )
        return no_wait;
    auto const granted_share = std::max( share, min_share );
    auto const shard_index =
        std::hash<core::workspace_id>{}( limits.id ) % shard_count;
    auto& shard = shards_[shard_index];
    auto const lock = std::scoped_lock( shard.mutex );
    auto& state = shard.by_workspace[limits.id];
    if ( limits.requests_per_second > 0 )
    {
        auto const rate =
            granted_share * static_cast<double>( limits.requests_per_second );
        auto const wait = state.requests.take( 1, rate, burst_seconds, now );
        if ( wait > no_wait )
            return wait;
    }
    if ( limits.tokens_per_second == 0 )
        return no_wait;
    auto const rate =
        granted_share * static_cast<double>( limits.tokens_per_second );
    auto const tokens = static_cast<double>( prompt_tokens.count() );
    return state.tokens.take( tokens, rate, burst_seconds, now );
}

auto workspace_limits::forget_idle( core::instant before ) -> void
{
    for ( auto& shard : shards_ )
    {
        auto const lock = std::scoped_lock( shard.mutex );
        std::erase_if( shard.by_workspace,
                       [&]( auto const& each )
                       {
                           auto const& state = each.second;
                           return std::max( state.requests.used_at(),
                                            state.tokens.used_at() ) < before;
                       } );
    }
}

auto workspace_limits::size() const -> std::size_t
{
    auto total = std::size_t{ 0 };
    for ( auto const& shard : shards_ )
    {
        auto const lock = std::scoped_lock( shard.mutex );
        total += shard.by_workspace.size();
    }
    return total;
}

}
