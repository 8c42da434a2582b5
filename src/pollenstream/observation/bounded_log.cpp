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
    if ( left_out_ > reported_left_out_ )
        next_log_.record( exchange::state_change{
            "log", "requests", "left_out",
            std::to_string( left_out_ - reported_left_out_ ),
            now - window_start_ } );
    reported_left_out_ = left_out_;
    window_start_ = now;
    started_in_window_ = 0;
}

/// True if the events of a newly placed request may be logged immediately.
auto bounded_log::admit( exchange::attempt_id const& id ) -> bool
{
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

auto bounded_log::end( exchange::request_ended const& e,
                       exchange::event const& what ) -> void
{
    auto const held = held_events_.extract( e.id.str() );
    if ( !held.empty() && is_served( e ) )
    {
        ++left_out_;
        return;
    }
    if ( !held.empty() )
        for ( auto const& line : held.mapped() )
            next_log_.record( line );
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
