#include <pollenstream/exchange/request_limit.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// A limited target that others are preferred to gets a request this often at
/// least, if its limit allows it: its answer says whether the limit still
/// holds.
constexpr auto longest_unheard = core::duration( 2s );

}

auto request_limit::take( limit_report const& what, core::instant now )
    -> limit_change
{
    auto const change = known_.take( what );
    if ( change == limit_change::named )
        pace_.begin( *what.per_second, now );
    else if ( change == limit_change::lowered ||
              change == limit_change::raised )
        pace_.change( *what.per_second, now );
    return change;
}

auto request_limit::note_sent( core::instant at, std::size_t requests ) -> void
{
    for ( auto i = std::size_t{ 0 }; i < requests; ++i )
        sent_.add( at );
    if ( per_second() )
        pace_.note_sent( at, requests );
}

auto request_limit::note_unreported( core::instant at ) -> void
{
    unreported_.add( at );
}

auto request_limit::take_unreported( core::instant now )
    -> std::vector<core::instant>
{
    return std::exchange( unreported_, {} ).within( now );
}

auto request_limit::note_uncoordinated( core::instant at ) -> void
{
    pace_.note_uncoordinated( at );
}

auto request_limit::next( limit_use use, limit_shares const& shares ) const
    -> core::instant
{
    return per_second() ? pace_.next( use, shares, sent_ ) : core::instant{};
}

auto request_limit::rate( limit_use use, limit_shares const& shares ) const
    -> double
{
    auto const share =
        use == limit_use::for_all ? shares.for_all : shares.uncoordinated;
    return pace_.rate() * share;
}

auto request_limit::is_limit_stale( core::instant now ) const -> bool
{
    auto const last = sent_.last();
    return per_second() && ( !last || now - *last >= longest_unheard );
}

}
