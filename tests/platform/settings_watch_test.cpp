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

struct watch_of_a_file
{
    watch_of_a_file()
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
    std::vector<double> taken;
    std::string waits;
    pollenstream::gateway::settings_watch watch{ "local.conf",
                                                 core::instance_id( "front-1" ),
                                                 [this]
                                                 {
                                                     return text;
                                                 },
                                                 [this]( auto const& settings )
                                                 {
                                                     taken.push_back(
                                                         settings.retry_ratio );
                                                     return waits;
                                                 },
                                                 scheduler,
                                                 log };
};

}

TEST_CASE( "settings that changed are taken with and without a signal",
           "[platform][settings]" )
{
    auto f = watch_of_a_file{};
    f.scheduler.run( 5s );
    CHECK( f.taken.empty() );
    f.text = settings_text( "0.3" );
    SECTION( "with a signal, at once" )
    {
        f.watch.reload();
        CHECK( f.taken == std::vector<double>{ 0.3 } );
        CHECK( f.last_log() == "reloaded: signal" );
    }
    SECTION( "without one, within seconds" )
    {
        f.scheduler.run( 1'100ms );
        CHECK( f.taken == std::vector<double>{ 0.3 } );
        CHECK( f.last_log() == "reloaded: file changed" );
    }
    // Once for each change.
    f.scheduler.run( 10s );
    CHECK( f.taken.size() == 1 );
}

TEST_CASE( "a bad settings file keeps the old settings and says why once",
           "[platform][settings]" )
{
    auto f = watch_of_a_file{};
    f.text = settings_text( "many" );
    f.scheduler.run( 10s );
    CHECK( f.taken.empty() );
    REQUIRE( f.log.all.size() == 1 );
    CHECK( f.last_log().find( "kept_settings: local.conf:10" ) == 0 );
    SECTION( "and so does one that cannot be read" )
    {
        f.text.reset();
        f.scheduler.run( 10s );
        CHECK( f.taken.empty() );
        CHECK( f.last_log() == "kept_settings: local.conf cannot be read" );
    }
    f.text = settings_text( "0.4" );
    f.scheduler.run( 1'100ms );
    CHECK( f.taken == std::vector<double>{ 0.4 } );
}

TEST_CASE( "what waits for the next start is said", "[platform][settings]" )
{
    auto f = watch_of_a_file{};
    f.waits = "listen addresses";
    f.text = settings_text( "0.3" );
    f.watch.reload();
    CHECK( f.last_log() ==
           "reloaded: signal; at the next start: listen addresses" );
}
