#include <pollenstream/exchange/request_limit.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
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

auto request_limit::set_warm_up_rate( std::optional<double> per_second,
                                      core::instant now ) -> void
{
    if ( std::exchange( warm_up_rate_, per_second ) != per_second )
        start_warm_up_pace( now );
}

auto request_limit::set_warm_up_end( core::instant until, core::instant now )
    -> void
{
    auto const was_warming_up = is_warming_up( now );
    warm_up_until_ = until;
    if ( !was_warming_up )
        start_warm_up_pace( now );
}

auto request_limit::start_warm_up_pace( core::instant now ) -> void
{
    if ( has_warm_up_limit( now ) )
        warm_up_pace_.start( *warm_up_rate_, now );
}

auto request_limit::note_sent( core::instant at, std::size_t requests ) -> void
{
    for ( auto i = std::size_t{ 0 }; i < requests; ++i )
        sent_.add( at );
    if ( reported_per_second() )
        pace_.note_sent( at, requests );
    if ( has_warm_up_limit( at ) )
        warm_up_pace_.note_sent( at, requests );
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
    warm_up_pace_.note_uncoordinated( at );
}

auto request_limit::per_second( core::instant now ) const
    -> std::optional<double>
{
    auto const reported = reported_per_second();
    if ( !has_warm_up_limit( now ) )
        return reported;
    return std::min( *warm_up_rate_, reported.value_or( *warm_up_rate_ ) );
}

/// A request that the pace of the warm-up holds back may go once that is over.
/// Requests sent before the warm-up do not count against its rate.
auto request_limit::next( limit_use use,
                          limit_shares const& shares,
                          core::instant now ) const -> core::instant
{
    auto const by_report = reported_per_second()
                               ? pace_.next( use, shares, sent_ )
                               : core::instant{};
    if ( !has_warm_up_limit( now ) )
        return by_report;
    static auto const no_earlier_requests = sent_times{};
    auto const by_warm_up =
        warm_up_pace_.next( use, shares, no_earlier_requests );
    return std::max( by_report, std::min( warm_up_until_, by_warm_up ) );
}

auto request_limit::rate( limit_use use,
                          limit_shares const& shares,
                          core::instant now ) const -> double
{
    if ( !per_second( now ) )
        return 0;
    auto lowest = std::numeric_limits<double>::infinity();
    if ( reported_per_second() )
        lowest = pace_.rate();
    if ( has_warm_up_limit( now ) )
        lowest = std::min( lowest, warm_up_pace_.rate() );
    auto const share = use == limit_use::coordinated ? shares.coordinated
                                                     : shares.uncoordinated;
    return lowest * share;
}

auto request_limit::is_limit_stale( core::instant now ) const -> bool
{
    auto const last = sent_.last();
    return reported_per_second() &&
           ( !last || now - *last >= limit_probe_interval );
}

}
