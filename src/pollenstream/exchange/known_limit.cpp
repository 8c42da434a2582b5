#include <pollenstream/exchange/known_limit.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstream::exchange
{

namespace
{

/// Messages of other instances may hold any number.
auto is_rate( double per_second ) -> bool
{
    return std::isfinite( per_second ) && per_second >= 0;
}

auto rate_of( limit_report const& report ) -> double
{
    return report.per_second.value_or(
        std::numeric_limits<double>::infinity() );
}

auto change_between( limit_report const& before, limit_report const& after )
    -> limit_change
{
    if ( !after.per_second )
        return limit_change::ended;
    if ( !before.per_second )
        return limit_change::started;
    return *after.per_second < *before.per_second ? limit_change::lowered
                                                  : limit_change::raised;
}

}

auto known_limit::note_report( limit_report const& report ) -> limit_change
{
    if ( report.per_second && !is_rate( *report.per_second ) )
        return limit_change::none;
    if ( report.per_second == current_.per_second )
    {
        current_.sent_at = std::max( current_.sent_at, report.sent_at );
        current_.heard_at = std::max( current_.heard_at, report.heard_at );
        return limit_change::none;
    }
    auto const is_older = report.heard_at <= current_.sent_at;
    auto const is_younger = report.sent_at >= current_.heard_at;
    auto const is_lower = rate_of( report ) < rate_of( current_ );
    if ( is_older || !( is_younger || is_lower ) )
        return limit_change::none;
    auto const change = change_between( current_, report );
    current_ = report;
    return change;
}

}
