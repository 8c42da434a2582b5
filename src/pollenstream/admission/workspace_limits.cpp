#include <pollenstream/admission/workspace_limits.hpp>

#include <algorithm>

namespace pollenstream::admission
{

namespace
{

constexpr auto burst_seconds = 2.0;
/// Least part that an instance hands out, so that a caller that comes to an
/// instance which is no home of its workspace is slowed and not shut out.
constexpr auto least_part = 0.01;

}

auto workspace_limits::take( profiles::workspace const& limits,
                             double part,
                             core::token_count prompt_tokens,
                             core::instant now ) -> core::duration
{
    auto const none = core::duration( 0 );
    if ( limits.requests_per_second == 0 && limits.tokens_per_second == 0 )
        return none;
    auto const kept = std::max( part, least_part );
    auto const slot =
        std::hash<core::workspace_id>{}( limits.id ) % shard_count;
    auto& shard = shards_[slot];
    auto const lock = std::scoped_lock( shard.mutex );
    auto& own = shard.by_workspace[limits.id];
    if ( limits.requests_per_second > 0 )
    {
        auto const rate =
            kept * static_cast<double>( limits.requests_per_second );
        auto const wait = own.requests.take( 1, rate, burst_seconds, now );
        if ( wait > none )
            return wait;
    }
    if ( limits.tokens_per_second == 0 )
        return none;
    auto const rate = kept * static_cast<double>( limits.tokens_per_second );
    auto const tokens = static_cast<double>( prompt_tokens.count() );
    return own.tokens.take( tokens, rate, burst_seconds, now );
}

auto workspace_limits::forget_idle( core::instant before ) -> void
{
    for ( auto& shard : shards_ )
    {
        auto const lock = std::scoped_lock( shard.mutex );
        std::erase_if( shard.by_workspace,
                       [&]( auto const& each )
                       {
                           auto const& own = each.second;
                           return std::max( own.requests.used_at(),
                                            own.tokens.used_at() ) < before;
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
