#include <pollenstream/exchange/request_limit.hpp>

#include <chrono>
#include <utility>

namespace pollenstream::exchange
{

namespace
{

using namespace std::chrono_literals;

/// A limited target gets a request at least this often if its limit allows it,
/// also when other targets are preferred: the answer tells whether the limit
/// still holds.
constexpr auto limit_probe_interval = core::duration( 2s );

}

auto request_limit::note_report( limit_report const& report, core::instant now )
    -> limit_change
{
    auto const change = known_.note_report( report );
    if ( change == limit_change::started )
        pace_.start( *report.per_second, now );
    else if ( change == limit_change::lowered ||
              change == limit_change::raised )
        pace_.set_rate( *report.per_second, now );
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
    auto const share = use == limit_use::coordinated ? shares.coordinated
                                                     : shares.uncoordinated;
    return pace_.rate() * share;
}

auto request_limit::is_limit_stale( core::instant now ) const -> bool
{
    auto const last = sent_.last();
    return per_second() && ( !last || now - *last >= limit_probe_interval );
}

}
