#include <pollenstream/observation/bounded_log.hpp>

#include <utility>

namespace pollenstream::observation
{

namespace
{

using namespace std::chrono_literals;

/// Bounds the number of requests whose events are held back. Of any further
/// request only the end is logged.
constexpr auto max_held_requests = std::size_t{ 4'096 };

auto is_served( exchange::request_ended const& e ) -> bool
{
    return e.outcome == "served";
}

}

bounded_log::bounded_log( exchange::event_log& next,
                          ports::scheduler& scheduler,
                          std::size_t requests_per_second )
    : next_log_( next ), scheduler_( scheduler ),
      max_requests_per_second_( requests_per_second ),
      window_start_( scheduler.now() )
{
}

auto bounded_log::advance_window() -> void
{
    auto const now = scheduler_.now();
    if ( now - window_start_ < 1s )
        return;
    report_left_out();
    window_start_ = now;
    started_in_window_ = 0;
    late_in_window_ = 0;
}

auto bounded_log::report_left_out() -> void
{
    auto const report = [this]( char const* what, std::uint64_t count )
    {
        if ( count > 0 )
            next_log_.record( exchange::state_change{
                "log", what, "left_out", std::to_string( count ),
                scheduler_.now() - window_start_ } );
    };
    report( "requests",
            left_out_ - std::exchange( reported_left_out_, left_out_ ) );
    report( "late_expected", std::exchange( late_left_out_, 0 ) );
}

/// True if the events of a newly placed request may be logged immediately.
auto bounded_log::admit( exchange::attempt_id const& id ) -> bool
{
    if ( logged_late_.count( id.str() ) != 0 )
        return true;
    if ( held_events_.count( id.str() ) != 0 )
        return false;
    return ++started_in_window_ <= max_requests_per_second_;
}

auto bounded_log::hold( exchange::attempt_id const& id,
                        exchange::event const& what ) -> void
{
    if ( held_events_.size() < max_held_requests ||
         held_events_.count( id.str() ) != 0 )
        held_events_[id.str()].push_back( what );
}

auto bounded_log::expect_late( exchange::lateness_expected const& e,
                               exchange::event const& what ) -> void
{
    auto const is_within_limit = logged_late_.size() < max_held_requests &&
                                 ++late_in_window_ <= max_requests_per_second_;
    if ( is_within_limit )
    {
        log_held( e.id );
        logged_late_.insert( e.id.str() );
        next_log_.record( what );
    }
    else if ( held_events_.count( e.id.str() ) != 0 )
        hold( e.id, what );
    else
        ++late_left_out_;
}

/// Logs the events of the request that were held back.
auto bounded_log::log_held( exchange::attempt_id const& id ) -> void
{
    auto const held = held_events_.extract( id.str() );
    if ( held.empty() )
        return;
    for ( auto const& event : held.mapped() )
        next_log_.record( event );
}

auto bounded_log::end( exchange::request_ended const& e,
                       exchange::event const& what ) -> void
{
    logged_late_.erase( e.id.str() );
    if ( is_served( e ) && held_events_.erase( e.id.str() ) > 0 )
    {
        ++left_out_;
        return;
    }
    log_held( e.id );
    next_log_.record( what );
}

auto bounded_log::record( exchange::event const& what ) -> void
{
    advance_window();
    if ( auto const* placed = std::get_if<exchange::request_placed>( &what ) )
    {
        if ( admit( placed->id ) )
            next_log_.record( what );
        else
            hold( placed->id, what );
        return;
    }
    if ( auto const* late = std::get_if<exchange::lateness_expected>( &what ) )
        return expect_late( *late, what );
    if ( auto const* failed = std::get_if<exchange::attempt_failed>( &what ) )
    {
        if ( held_events_.count( failed->id.str() ) == 0 )
            next_log_.record( what );
        else
            hold( failed->id, what );
        return;
    }
    if ( auto const* ended = std::get_if<exchange::request_ended>( &what ) )
        return end( *ended, what );
    next_log_.record( what );
}

}
