#include <pollenstream/observation/bounded_log.hpp>

#include <utility>

namespace pollenstream::observation
{

namespace
{

using namespace std::chrono_literals;

/// Requests whose lines are held back at most; with more open at once the
/// lines of further ones are lost, their ends are not.
constexpr auto most_held = std::size_t{ 4'096 };

auto ended_well( exchange::request_ended const& e ) -> bool
{
    return e.outcome == "served";
}

}

bounded_log::bounded_log( exchange::event_log& next,
                          ports::scheduler& scheduler,
                          std::size_t requests_per_second )
    : next_( next ), scheduler_( scheduler ), budget_( requests_per_second ),
      second_( scheduler.now() )
{
}

auto bounded_log::next_second() -> void
{
    auto const now = scheduler_.now();
    if ( now - second_ < 1s )
        return;
    if ( left_out_ > told_ )
        next_.record( exchange::state_change{
            "log", "requests", "left_out", std::to_string( left_out_ - told_ ),
            now - second_ } );
    told_ = left_out_;
    second_ = now;
    begun_ = 0;
}

/// True where the lines of a request that begins may be written at once.
auto bounded_log::admit( exchange::attempt_id const& id ) -> bool
{
    if ( held_.count( id.str() ) != 0 )
        return false;
    return ++begun_ <= budget_;
}

auto bounded_log::hold( exchange::attempt_id const& id,
                        exchange::event const& what ) -> void
{
    if ( held_.size() < most_held || held_.count( id.str() ) != 0 )
        held_[id.str()].push_back( what );
}

auto bounded_log::end( exchange::request_ended const& e,
                       exchange::event const& what ) -> void
{
    auto const held = held_.extract( e.id.str() );
    if ( !held.empty() && ended_well( e ) )
    {
        ++left_out_;
        return;
    }
    if ( !held.empty() )
        for ( auto const& line : held.mapped() )
            next_.record( line );
    next_.record( what );
}

auto bounded_log::record( exchange::event const& what ) -> void
{
    next_second();
    if ( auto const* placed = std::get_if<exchange::request_placed>( &what ) )
    {
        if ( admit( placed->id ) )
            next_.record( what );
        else
            hold( placed->id, what );
        return;
    }
    if ( auto const* failed = std::get_if<exchange::attempt_failed>( &what ) )
    {
        if ( held_.count( failed->id.str() ) == 0 )
            next_.record( what );
        else
            hold( failed->id, what );
        return;
    }
    if ( auto const* ended = std::get_if<exchange::request_ended>( &what ) )
        return end( *ended, what );
    next_.record( what );
}

}
