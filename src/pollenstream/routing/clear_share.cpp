#include <pollenstream/routing/clear_share.hpp>

#include <algorithm>
#include <cmath>

namespace pollenstream::routing
{

namespace
{

using namespace std::chrono_literals;

/// How long the mix is remembered.
constexpr auto memory_span = core::duration( 60s );
/// Larger prompts keep at least this part of the targets.
constexpr auto least_for_larger = 0.5;
/// Small prompts come in bursts and are to meet no queue: they get this many
/// times their part of the tokens. Medium ones may queue a little.
constexpr auto small_room = 1.5;
constexpr auto medium_room = 0.8;
/// Least share that is kept for small prompts while they come at all.
constexpr auto least_share = 0.15;
/// Fewer tokens than this in the span count as none.
constexpr auto few_tokens = 1'000.0;

constexpr auto relaxed = std::memory_order_relaxed;

}

auto clear_share::decaying_sum::add( double amount, core::instant now ) -> void
{
    // Two threads may both decay the sum and lose one of the amounts: the
    // share is an estimate and does not need an exact sum.
    tokens.store( value( now ) + amount, relaxed );
    at_us.store( now.time_since_epoch().count(), relaxed );
}

auto clear_share::decaying_sum::value( core::instant now ) const -> double
{
    auto const age = now.time_since_epoch().count() - at_us.load( relaxed );
    auto const spans =
        static_cast<double>( std::max( std::int64_t{ 0 }, age ) ) /
        static_cast<double>( memory_span.count() );
    return tokens.load( relaxed ) * std::exp( -spans );
}

auto clear_share::note( std::int64_t prompt_tokens, core::instant now ) -> void
{
    auto& sum = tokens_[index_of( size_of( prompt_tokens ) )];
    sum.add( static_cast<double>( prompt_tokens ), now );
}

auto clear_share::kept_from( size_class c, core::instant now ) const -> double
{
    if ( c == size_class::small )
        return 0;
    auto const small = tokens_[0].value( now );
    auto const medium = tokens_[1].value( now );
    auto const all = small + medium + tokens_[2].value( now );
    if ( all <= 0 )
        return 0;
    auto kept = 0.0;
    if ( small > few_tokens )
        kept = std::max( least_share, small_room * small / all );
    if ( c == size_class::large && medium > few_tokens )
        kept += medium_room * medium / all;
    return std::min( kept, 1.0 - least_for_larger );
}

}
