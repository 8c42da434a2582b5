#include "support/part_load.hpp"

#include <algorithm>

namespace tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto number_of_middle_parts = 20;

}

auto middle_part( int number ) -> exchange::prompt_part_id
{
    return exchange::prompt_part_id( 0x100 + number % number_of_middle_parts );
}

part_load::part_load( exchange_fleet& f )
    : fleet( f ), next_fatal( f.scheduler.now() + 2s )
{
    for ( auto const part : { fatal_part, other_fatal_part } )
        fleet.engines.fatal_parts.insert( part );
    fleet.engines.time.event_gap = 80ms;
}

auto part_load::send_for( core::duration time ) -> void
{
    auto const end = fleet.scheduler.now() + time;
    while ( fleet.scheduler.now() < end )
    {
        auto const number = ++sent;
        send_sound( number );
        if ( fleet.scheduler.now() >= next_fatal )
        {
            send_fatal( number );
            next_fatal = fleet.scheduler.now() + fatal_period;
        }
        fleet.scheduler.run( sound_period );
    }
}

auto part_load::send_sound( int number ) -> void
{
    sound.push_back( fleet.call( number % fleet.size(), "/chat/o",
                                 std::to_string( number ),
                                 { sound_part, middle_part( number ) } ) );
}

auto part_load::send_fatal( int number ) -> void
{
    auto const& parts =
        fatal_parts[static_cast<std::size_t>( number ) % fatal_parts.size()];
    fatal.push_back( fleet.call( number * 7 % fleet.size(), "/chat/o",
                                 "f" + std::to_string( number ), parts ) );
}

auto restart_all( exchange_fleet& fleet, core::duration down ) -> void
{
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.kill( i );
    fleet.scheduler.run( down );
    for ( auto i = 0; i < fleet.size(); ++i )
        fleet.restart( i );
}

/// The sound requests that began at `since` or later and were not served at the
/// first attempt.
auto not_served_at_once( part_load const& load, core::instant since ) -> int
{
    auto const is_harmed = [since]( auto const& call )
    {
        return call->began >= since && ( !call->served || call->attempts > 1 );
    };
    return static_cast<int>(
        std::count_if( load.sound.begin(), load.sound.end(), is_harmed ) );
}

}
