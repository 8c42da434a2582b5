#include <pollenstream/core/invariant.hpp>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace pollenstream::core
{

namespace
{

auto slot_of( invariant which ) -> std::size_t
{
    return static_cast<std::size_t>( which );
}

auto report_and_abort( invariant which, std::string const& detail ) -> void
{
    auto const name = std::string( name_of( which ) );
    std::fprintf( stderr, "invariant %s violated: %s\n", name.c_str(),
                  detail.c_str() );
#ifdef POLLENSTREAM_ABORT_ON_VIOLATION
    std::abort();
#endif
}

}

auto name_of( invariant which ) -> std::string_view
{
    switch ( which )
    {
    case invariant::ends_in_time:
        return "ends_in_time";
    case invariant::memory_is_returned:
        return "memory_is_returned";
    case invariant::answer_is_whole:
        return "answer_is_whole";
    case invariant::not_run_is_true:
        return "not_run_is_true";
    case invariant::at_most_once:
        return "at_most_once";
    case invariant::leaving_gets_no_work:
        return "leaving_gets_no_work";
    case invariant::drained_gets_no_work:
        return "drained_gets_no_work";
    case invariant::stop_cuts_nothing:
        return "stop_cuts_nothing";
    case invariant::revision_only_rises:
        return "revision_only_rises";
    case invariant::pause_holds:
        return "pause_holds";
    case invariant::limit_holds:
        return "limit_holds";
    case invariant::quarantine_holds:
        return "quarantine_holds";
    case invariant::number_of_invariants:
        break;
    }
    return "unnamed";
}

invariant_monitor::invariant_monitor() : on_violation_( report_and_abort ) {}

auto invariant_monitor::instance() -> invariant_monitor&
{
    static invariant_monitor monitor;
    return monitor;
}

auto invariant_monitor::check( invariant which,
                               bool holds,
                               std::string_view detail ) -> void
{
    auto const slot = slot_of( which );
    checks_[slot].fetch_add( 1, std::memory_order_relaxed );
    if ( holds )
        return;
    violations_[slot].fetch_add( 1, std::memory_order_relaxed );
    auto on_violation = handler{};
    {
        auto const lock = std::scoped_lock( mutex_ );
        on_violation = on_violation_;
    }
    on_violation( which, std::string( detail ) );
}

auto invariant_monitor::checks( invariant which ) const -> std::uint64_t
{
    return checks_[slot_of( which )].load( std::memory_order_relaxed );
}

auto invariant_monitor::violations( invariant which ) const -> std::uint64_t
{
    return violations_[slot_of( which )].load( std::memory_order_relaxed );
}

auto invariant_monitor::set_handler( handler on_violation ) -> handler
{
    auto const lock = std::scoped_lock( mutex_ );
    return std::exchange( on_violation_, std::move( on_violation ) );
}

auto check_invariant( invariant which, bool holds, std::string_view detail )
    -> void
{
    invariant_monitor::instance().check( which, holds, detail );
}

}
