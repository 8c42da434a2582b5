#include "support/exchange_fixture.hpp"
#include <pollenstream/observation/route_service.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
namespace observation = pollenstream::observation;

// Guards against a process that looks well because it serves one route, while
// it serves nothing of another.

namespace
{

struct followed_routes
{
    auto end( std::string route, std::string outcome ) -> void
    {
        auto e = exchange::request_ended{};
        e.route = std::move( route );
        e.outcome = std::move( outcome );
        service.record( e );
    }
    auto states() const -> std::vector<std::string>
    {
        auto found = std::vector<std::string>{};
        for ( auto const& e : written.all )
            if ( auto const* change =
                     std::get_if<exchange::state_change>( &e ) )
                found.push_back( change->what + " " + change->name + " " +
                                 change->now + " " + change->because );
        return found;
    }

    held_scheduler scheduler;
    recorded_events written;
    observation::route_service service{ written, scheduler };
};

}

TEST_CASE( "a route that is not served is recorded though another one is",
           "[log]" )
{
    auto routes = followed_routes{};
    routes.end( "calls", "served" );
    routes.end( "calls", "no_target" );
    routes.end( "prompts", "no_target" );
    CHECK( routes.states() ==
           std::vector<std::string>{ "route calls serving " } );
    routes.scheduler.run( observation::route_service::patience + 1ms );
    routes.end( "prompts", "quarantined" );
    routes.end( "prompts", "quarantined" );
    routes.end( "prompts", "served" );
    routes.end( "prompts", "served" );
    CHECK( routes.states() ==
           std::vector<std::string>{
               "route calls serving ",
               "route prompts not_serving no_target:1 quarantined:1",
               "route prompts serving no_target:1 quarantined:2" } );
}

TEST_CASE( "only so many routes are followed until they are served", "[log]" )
{
    auto routes = followed_routes{};
    for ( auto i = std::size_t{ 0 };
          i <= observation::route_service::max_routes; ++i )
        routes.end( "r" + std::to_string( i ), "served" );
    routes.end( "", "served" );
    CHECK( routes.states().size() == observation::route_service::max_routes );
}
