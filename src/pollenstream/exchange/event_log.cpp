#include <pollenstream/exchange/event_log.hpp>

#include <charconv>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

auto name_of( limit_change change ) -> std::string
{
    switch ( change )
    {
    case limit_change::started:
        return "limited";
    case limit_change::lowered:
        return "limit_lowered";
    case limit_change::raised:
        return "limit_raised";
    case limit_change::ended:
        return "limit_ended";
    case limit_change::none:
        break;
    }
    return "limit_unchanged";
}

auto rate_text( double per_second ) -> std::string
{
    constexpr auto digits = 6;
    auto text = std::string( 32, ' ' );
    auto const end =
        std::to_chars( text.data(), text.data() + text.size(), per_second,
                       std::chars_format::general, digits );
    text.resize( static_cast<std::size_t>( end.ptr - text.data() ) );
    return text + " a second";
}

}

auto ejection_state_change( target_ref const& target, std::string seen_by )
    -> state_change
{
    return { "target",
             target.id.str(),
             "ejected",
             "failures seen by " + std::move( seen_by ),
             {} };
}

auto limit_state_change( target_ref const& target,
                         limit_change change,
                         std::optional<double> per_second,
                         std::string because ) -> state_change
{
    if ( per_second )
        because += ", " + rate_text( *per_second );
    return { "target",
             target.id.str(),
             name_of( change ),
             std::move( because ),
             {} };
}

auto slowdown_state_change( slowdown_change const& change ) -> state_change
{
    auto because = std::ostringstream{};
    switch ( change.reason )
    {
    case slowdown_reason::first_events:
        because << "first events";
        break;
    case slowdown_reason::no_samples:
        because << "no recent first events";
        break;
    case slowdown_reason::model_changed:
        because << "engine model changed";
        break;
    }
    auto const is_slow = change.slowdown > 1;
    if ( is_slow )
        because << ", " << std::fixed << std::setprecision( 1 )
                << change.slowdown << " times";
    return { "target",
             change.target.id.str(),
             is_slow ? "slowed" : "as_configured",
             because.str(),
             {} };
}

}
