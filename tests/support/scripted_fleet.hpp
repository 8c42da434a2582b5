#ifndef TESTS_SUPPORT_SCRIPTED_FLEET_HPP
#define TESTS_SUPPORT_SCRIPTED_FLEET_HPP

#include "scripted_engines.hpp"
#include "test_fleet.hpp"

namespace tests
{

/// One instance in front of scripted engines, on a clock that the test
/// advances. The test reports how much of the engines' memory is used.
struct scripted_fleet
{
    explicit scripted_fleet( int count, std::int64_t memory = 400'000 )
        : memory_tokens( memory )
    {
        auto identities = std::vector<routing::target_identity>{};
        for ( auto i = 0; i < count; ++i )
            identities.push_back( { core::target_id( name( i ) ),
                                    core::service_id( "model" ),
                                    core::data_centre_id( "here" ),
                                    { "127.0.0.1", 1 } } );
        targets.replace( identities, time.now() );
        for ( auto i = 0; i < count; ++i )
            report_memory( name( i ), 0 );
    }
    ~scripted_fleet()
    {
        // Sessions hold references to the members below, so they must end
        // first.
        time.advance( std::chrono::hours( 2 ) );
        engines.all.clear();
        engines.fills.clear();
    }
    scripted_fleet( scripted_fleet const& ) = delete;
    auto operator=( scripted_fleet const& ) -> scripted_fleet& = delete;

    static auto name( int number ) -> std::string
    {
        return std::string( 1, static_cast<char>( 'a' + number ) );
    }

    auto target( std::string const& id ) -> std::shared_ptr<routing::target>
    {
        return targets.find( core::target_id( id ) );
    }

    /// Applies a load report by which `used` tokens of the engine's memory are
    /// used.
    auto report_memory( std::string const& id, std::int64_t used ) -> void
    {
        auto report = ports::load_report{};
        report.memory_used = used;
        report.memory_total = memory_tokens;
        report.prefill_rate = 20'000;
        report.decode_rate = 100;
        target( id )->take_report( report, time.now() );
    }

    auto send( std::int64_t tokens, profiles::profile const& profile ) -> void
    {
        auto wanted = sessions::request{};
        wanted.workspace = core::workspace_id( "w" );
        wanted.prompt =
            std::make_shared<std::string const>( make_prompt( tokens ) );
        std::make_shared<sessions::session>( context, wanted, profile, answer )
            ->start();
    }

    auto exhaust_retry_budget() -> void
    {
        while ( retries.take() )
        {
        }
    }

    /// Requests that this instance counts as open at its engines.
    auto counted_open_requests() -> std::int64_t
    {
        auto open = std::int64_t{ 0 };
        for ( auto const& each : targets.all() )
            open += each->open_requests();
        return open;
    }

    auto stream( std::size_t number ) -> scripted_stream&
    {
        return *engines.all.at( number );
    }

    std::int64_t memory_tokens;
    standins::held_time time;
    scripted_engines engines;
    routing::target_table targets;
    std::unique_ptr<routing::target_policy> policy =
        routing::make_policy( "predicted", 1 );
    pollenstream::admission::retry_budget retries;
    pollenstream::metrics::request_metrics metrics;
    sessions::context context{
        { core::instance_id( "me" ), core::incarnation( 1 ) },
        time,
        time,
        engines,
        targets,
        *policy,
        retries,
        metrics };
    std::shared_ptr<recorded_answer> answer =
        std::make_shared<recorded_answer>();
};

}

#endif
