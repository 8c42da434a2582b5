#include <pollenstream/exchange/known_limit.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstream::exchange
{

namespace
{

/// Others' messages may say anything.
auto is_rate( double per_second ) -> bool
{
    return std::isfinite( per_second ) && per_second >= 0;
}

auto rate_of( limit_report const& what ) -> double
{
    return what.per_second.value_or( std::numeric_limits<double>::infinity() );
}

auto change_between( limit_report const& before, limit_report const& after )
    -> limit_change
{
    if ( !after.per_second )
        return limit_change::ended;
    if ( !before.per_second )
        return limit_change::named;
    return *after.per_second < *before.per_second ? limit_change::lowered
                                                  : limit_change::raised;
}

}

auto known_limit::take( limit_report const& what ) -> limit_change
{
    if ( what.per_second && !is_rate( *what.per_second ) )
        return limit_change::none;
    if ( what.per_second == held_.per_second )
    {
        held_.sent_at = std::max( held_.sent_at, what.sent_at );
        held_.heard_at = std::max( held_.heard_at, what.heard_at );
        return limit_change::none;
    }
    auto const is_older = what.heard_at <= held_.sent_at;
    auto const is_younger = what.sent_at >= held_.heard_at;
    auto const is_lower = rate_of( what ) < rate_of( held_ );
    if ( is_older || !( is_younger || is_lower ) )
        return limit_change::none;
    auto const change = change_between( held_, what );
    held_ = what;
    return change;
}

}
