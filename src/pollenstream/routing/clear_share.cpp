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
/// Long prompts keep at least half of the targets.
constexpr auto most_share = 0.5;
/// Shorts come in bursts: they get this many times their part of the tokens.
constexpr auto burst_room = 3.0;
/// Least part that is kept clear while shorts come at all.
constexpr auto least_share = 0.15;
/// Fewer short tokens than this in the span count as none.
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
    auto& sum = is_long( prompt_tokens ) ? long_tokens_ : short_tokens_;
    sum.add( static_cast<double>( prompt_tokens ), now );
}

auto clear_share::share( core::instant now ) const -> double
{
    auto const shorts = short_tokens_.value( now );
    auto const longs = long_tokens_.value( now );
    if ( shorts < few_tokens || longs <= 0 )
        return 0;
    auto const part = shorts / ( shorts + longs );
    return std::clamp( burst_room * part, least_share, most_share );
}

}
