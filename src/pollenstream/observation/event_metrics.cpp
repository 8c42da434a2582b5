#include <pollenstream/observation/event_metrics.hpp>

#include <sstream>
#include <string_view>

namespace pollenstream::observation
{

namespace
{

using text = std::string_view;

/// Writes one family of counters with two labels.
template <class Map>
auto write_counters( std::ostream& out,
                     text name,
                     text first_label,
                     text second_label,
                     Map const& counts ) -> void
{
    out << "# TYPE " << name << " counter\n";
    for ( auto const& [labels, count] : counts )
        out << name << '{' << first_label << "=\"" << labels.first << "\","
            << second_label << "=\"" << labels.second << "\"} " << count
            << '\n';
}

/// Writes one family of counters with one label.
auto write_counters( std::ostream& out,
                     text name,
                     text label,
                     std::map<std::string, std::uint64_t> const& counts )
    -> void
{
    out << "# TYPE " << name << " counter\n";
    for ( auto const& [value, count] : counts )
        out << name << '{' << label << "=\"" << value << "\"} " << count
            << '\n';
}

auto write_lost( std::ostream& out, lost_requests const& lost ) -> void
{
    auto counts =
        std::map<std::pair<std::string, std::string>, std::uint64_t>{};
    for ( auto const& [workspace, by_kind] : lost.all() )
        for ( auto i = std::size_t{ 0 }; i < by_kind.size(); ++i )
            counts[{ workspace, name_of( static_cast<loss_kind>( i ) ) }] =
                by_kind.at( i );
    write_counters( out, "pollenstream_requests_lost_total", "workspace", "why",
                    counts );
}

auto write_histograms( std::ostream& out,
                       std::string const& name,
                       std::map<std::string, histogram> const& by_route )
    -> void
{
    out << "# TYPE " << name << " histogram\n";
    for ( auto const& [route, h] : by_route )
        out << h.text( name, "route=\"" + route + "\"," );
}

}

event_metrics::event_metrics( exchange::event_log& next ) : next_log_( next ) {}

auto event_metrics::record( exchange::event const& what ) -> void
{
    std::visit(
        [this]( auto const& e )
        {
            count( e );
        },
        what );
    next_log_.record( what );
}

auto event_metrics::count( exchange::request_refused const& e ) -> void
{
    // The instance of its caller counts it.
    if ( e.handed_over_by.empty() )
        ++refused_[{ e.route, e.reason }];
}

auto event_metrics::count( exchange::request_placed const& e ) -> void
{
    ++placements_;
    placed_parts_ += e.parts.size();
    queue_time_[e.route].add( e.waited );
    if ( e.placement_time > core::duration( 0 ) )
        placement_time_[e.route].add( e.placement_time );
}

auto event_metrics::count( exchange::request_handed_over const& e ) -> void
{
    ++handed_over_[{ e.route, e.because }];
}

auto event_metrics::count( exchange::lateness_expected const& e ) -> void
{
    ++late_expected_[e.route];
}

auto event_metrics::count( exchange::attempt_failed const& e ) -> void
{
    ++failed_attempts_[e.decision];
}

auto event_metrics::count( exchange::request_ended const& e ) -> void
{
    if ( !e.handed_over_by.empty() )
        return;
    ++ended_[{ e.route, e.outcome }];
    if ( auto const lost = loss_of( e ) )
        lost_.add( e.workspace, *lost );
    request_time_[e.route].add( e.total );
    if ( e.events == 0 )
        return;
    first_event_[e.route].add( e.first_event );
    longest_gap_[e.route].add( e.longest_gap );
}

auto event_metrics::count( exchange::state_change const& e ) -> void
{
    ++state_changes_[{ e.what, e.now }];
}

auto event_metrics::text() const -> std::string
{
    auto out = std::ostringstream{};
    write_counters( out, "pollenstream_requests_ended_total", "route",
                    "outcome", ended_ );
    write_counters( out, "pollenstream_requests_refused_total", "route",
                    "reason", refused_ );
    write_counters( out, "pollenstream_requests_handed_over_total", "route",
                    "because", handed_over_ );
    write_counters( out, "pollenstream_beliefs_total", "what", "now",
                    state_changes_ );
    write_lost( out, lost_ );
    write_counters( out, "pollenstream_late_expected_total", "route",
                    late_expected_ );
    write_counters( out, "pollenstream_attempts_failed_total", "decision",
                    failed_attempts_ );
    out << "# TYPE pollenstream_placements_total counter\n"
        << "pollenstream_placements_total " << placements_ << '\n'
        << "# TYPE pollenstream_placed_parts_total counter\n"
        << "pollenstream_placed_parts_total " << placed_parts_ << '\n';
    write_histograms( out, "pollenstream_first_event_seconds", first_event_ );
    write_histograms( out, "pollenstream_longest_gap_seconds", longest_gap_ );
    write_histograms( out, "pollenstream_request_seconds", request_time_ );
    write_histograms( out, "pollenstream_queue_seconds", queue_time_ );
    write_histograms( out, "pollenstream_ask_seconds", placement_time_ );
    return out.str();
}

}
