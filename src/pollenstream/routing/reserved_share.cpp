#include <pollenstream/routing/reserved_share.hpp>

#include <algorithm>
#include <cmath>

namespace pollenstream::routing
{

namespace
{

using namespace std::chrono_literals;

/// Time constant of the exponential decay of the token sums.
constexpr auto averaging_time = core::duration( 60s );
/// Share of the targets that always stays open to longer prompts.
constexpr auto min_share_for_longer = 0.5;
/// Targets reserved for a class, relative to its share of the tokens. Small
/// prompts come in bursts and should not queue, so they get more than their
/// share; medium ones may queue a little.
constexpr auto small_share_factor = 1.5;
constexpr auto medium_share_factor = 0.8;
/// Least share that is reserved for small prompts while any arrive.
constexpr auto min_small_share = 0.15;
/// A class with fewer recent tokens than this gets no reserved share.
constexpr auto min_recent_tokens = 1'000.0;

constexpr auto relaxed = std::memory_order_relaxed;

}

auto reserved_share::decaying_sum::add( double amount, core::instant now )
    -> void
{
    // Two threads may both decay the sum and lose one of the amounts: the
    // share is an estimate and does not need an exact sum.
    tokens.store( value( now ) + amount, relaxed );
    at_us.store( now.time_since_epoch().count(), relaxed );
}

auto reserved_share::decaying_sum::value( core::instant now ) const -> double
{
    auto const age = now.time_since_epoch().count() - at_us.load( relaxed );
    auto const time_constants =
        static_cast<double>( std::max( std::int64_t{ 0 }, age ) ) /
        static_cast<double>( averaging_time.count() );
    return tokens.load( relaxed ) * std::exp( -time_constants );
}

auto reserved_share::note( std::int64_t prompt_tokens, core::instant now )
    -> void
{
    auto& sum = tokens_[index_of( size_class_of( prompt_tokens ) )];
    sum.add( static_cast<double>( prompt_tokens ), now );
}

auto reserved_share::reserved_from( size_class prompt_class,
                                    core::instant now ) const -> double
{
    if ( prompt_class == size_class::small )
        return 0;
    auto const small = tokens_[0].value( now );
    auto const medium = tokens_[1].value( now );
    auto const all = small + medium + tokens_[2].value( now );
    if ( all <= 0 )
        return 0;
    auto reserved = 0.0;
    if ( small > min_recent_tokens )
        reserved =
            std::max( min_small_share, small_share_factor * small / all );
    if ( prompt_class == size_class::large && medium > min_recent_tokens )
        reserved += medium_share_factor * medium / all;
    return std::min( reserved, 1.0 - min_share_for_longer );
}

}
