#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <settings_watch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto settings_text( std::string const& ratio ) -> std::string
{
    return "node_name=front-1\nzone=hall-a\nip_address=10.1.0.40\n"
           "listen_addresses.front=10.1.0.40:8227\n"
           "listen_addresses.ready=10.1.0.40:8220\n"
           "listen_addresses.control=10.1.0.40:8229\n"
           "listen_addresses.directory=10.1.0.40:8224\n"
           "platform.address=10.200.1.7:8223\n"
           "internal_port_range=7340,7355\n"
           "bounds.retry_budget_ratio=" +
           ratio + "\n";
}

struct settings_watch_fixture
{
    settings_watch_fixture()
    {
        watch.start();
    }

    [[nodiscard]] auto last_log() const -> std::string
    {
        if ( log.all.empty() )
            return {};
        auto const& event = std::get<exchange::state_change>( log.all.back() );
        return event.now + ": " + event.because;
    }

    held_scheduler scheduler;
    recorded_events log;
    std::optional<std::string> text{ settings_text( "0.2" ) };
    std::vector<double> applied;
    std::string needs_restart;
    pollenstream::gateway::settings_watch watch{ "local.conf",
                                                 core::instance_id( "front-1" ),
                                                 [this]
                                                 {
                                                     return text;
                                                 },
                                                 [this]( auto const& settings )
                                                 {
                                                     applied.push_back(
                                                         settings.retry_ratio );
                                                     return needs_restart;
                                                 },
                                                 scheduler,
                                                 log };
};

}

TEST_CASE( "changed settings are applied with and without a signal",
           "[platform][settings]" )
{
    auto f = settings_watch_fixture{};
    f.scheduler.run( 5s );
    CHECK( f.applied.empty() );
    f.text = settings_text( "0.3" );
    SECTION( "with a signal, immediately" )
    {
        f.watch.reload();
        CHECK( f.applied == std::vector<double>{ 0.3 } );
        CHECK( f.last_log() == "reloaded: signal" );
    }
    SECTION( "without a signal, at the next check of the file" )
    {
        f.scheduler.run( 1'100ms );
        CHECK( f.applied == std::vector<double>{ 0.3 } );
        CHECK( f.last_log() == "reloaded: file changed" );
    }
    // Each change is applied only once.
    f.scheduler.run( 10s );
    CHECK( f.applied.size() == 1 );
}

TEST_CASE( "an invalid settings file leaves the settings and is logged once",
           "[platform][settings]" )
{
    auto f = settings_watch_fixture{};
    f.text = settings_text( "many" );
    f.scheduler.run( 10s );
    CHECK( f.applied.empty() );
    REQUIRE( f.log.all.size() == 1 );
    CHECK( f.last_log().find( "kept_settings: local.conf:10" ) == 0 );
    SECTION( "a file that cannot be read has the same effect" )
    {
        f.text.reset();
        f.scheduler.run( 10s );
        CHECK( f.applied.empty() );
        CHECK( f.last_log() == "kept_settings: local.conf cannot be read" );
    }
    f.text = settings_text( "0.4" );
    f.scheduler.run( 1'100ms );
    CHECK( f.applied == std::vector<double>{ 0.4 } );
}

TEST_CASE( "settings that need a restart are logged", "[platform][settings]" )
{
    auto f = settings_watch_fixture{};
    f.needs_restart = "listen addresses";
    f.text = settings_text( "0.3" );
    f.watch.reload();
    CHECK( f.last_log() ==
           "reloaded: signal; at the next start: listen addresses" );
}
