#ifndef TESTS_SUPPORT_HELD_STREAM_HPP
#define TESTS_SUPPORT_HELD_STREAM_HPP

#include "exchange_fixture.hpp"

#include <memory>

namespace tests
{

/// Exceeds the silence after an event (1 s on the routes of the fixture) at
/// which another target is tried.
constexpr auto past_silence_timeout =
    core::duration( std::chrono::milliseconds( 1'100 ) );

/// One open stream whose placement requests the test answers. It starts at
/// target `m1`.
struct held_stream
{
    /// `max_targets`: targets that the routes allow per request.
    explicit held_stream( std::int64_t max_targets = 2 ) : f( placements )
    {
        auto changed = std::make_shared<exchange::route_configuration>(
            *f.context.configuration );
        for ( auto& route : changed->routes )
            route.max_targets = max_targets;
        f.context.configuration = changed;
        open = f.start( f.request( "/chat/x" ) );
        grant( "m1" );
    }
    ~held_stream()
    {
        open->on_caller_gone();
    }
    held_stream( held_stream const& ) = delete;
    auto operator=( held_stream const& ) -> held_stream& = delete;

    /// Grants `target` to the last placement request.
    auto grant( char const* target ) -> void
    {
        auto const& last = placements.all.back();
        auto granted = exchange::placement_grant{};
        granted.serial = last.request.serial;
        granted.choice.targets = { f.loads.find( core::target_id( target ) ) };
        granted.choice.parts = { { core::target_id( target ), 20, 6'000 } };
        last.listener->on_granted( granted );
    }
    auto at( std::size_t which ) -> sent_request&
    {
        return *f.targets.all.at( which );
    }
    auto first() -> sent_request&
    {
        return at( 0 );
    }
    /// The first target sends two events and is silent past its timeout.
    auto fall_silent() -> void
    {
        first().head( 200 );
        first().event( 1 );
        first().event( 2 );
        f.scheduler.run( past_silence_timeout );
    }

    held_placements placements;
    exchange_fixture f;
    std::shared_ptr<exchange::exchange> open;
};

}

#endif
