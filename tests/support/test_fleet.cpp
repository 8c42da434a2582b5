#include "test_fleet.hpp"

#include <utility>

namespace tests
{

using namespace std::chrono_literals;

test_fleet::test_fleet( int engine_count,
                        standins::engine_settings settings,
                        std::string const& policy )
    : policy_( policy )
{
    for ( auto i = 0; i < engine_count; ++i )
    {
        auto const id = "engine-" + std::to_string( i );
        engines.add( id, settings );
        identities_.push_back(
            { core::target_id( id ),
              core::service_id( "model" ),
              core::data_centre_id( "here" ),
              { "127.0.0.1", static_cast<std::uint16_t>( 1000 + i ) } } );
    }
    add_instance();
}

test_fleet::~test_fleet()
{
    // Sessions hold references to the members below, so they must end first.
    engines.run_for( 2h );
}

auto test_fleet::add_instance() -> std::size_t
{
    auto const number = instances.size();
    auto one = std::make_unique<instance>();
    one->policy = routing::make_policy( policy_, number + 1 );
    one->targets.replace( identities_, time.now() );
    one->context = std::make_unique<sessions::context>(
        ports::memory_owner{
            core::instance_id( "instance-" + std::to_string( number ) ),
            core::incarnation( 1 ) },
        time, time, engines, one->targets, *one->policy, one->retries,
        one->metrics );
    for ( auto const& each : one->targets.all() )
        each->take_report(
            engines.model( each->identity().id.str() ).load( time.now() ),
            time.now() );
    instances.push_back( std::move( one ) );
    return number;
}

auto test_fleet::send( std::int64_t tokens, profiles::profile const& profile )
    -> std::shared_ptr<recorded_answer>
{
    return send_text( make_prompt( tokens ), profile );
}

auto test_fleet::send_text( std::string prompt,
                            profiles::profile const& profile )
    -> std::shared_ptr<recorded_answer>
{
    auto answer = std::make_shared<recorded_answer>();
    auto wanted = sessions::request{};
    wanted.workspace = core::workspace_id( "w" );
    wanted.prompt = std::make_shared<std::string const>( std::move( prompt ) );
    std::make_shared<sessions::session>( *instances.front()->context, wanted,
                                         profile, answer )
        ->start();
    return answer;
}

auto test_fleet::send_through( std::size_t number,
                               std::int64_t tokens,
                               profiles::profile const& profile )
    -> std::shared_ptr<recorded_answer>
{
    auto answer = std::make_shared<recorded_answer>();
    auto wanted = sessions::request{};
    wanted.workspace = core::workspace_id( "w" );
    wanted.prompt = std::make_shared<std::string const>(
        make_prompt( tokens, static_cast<int>( number ) ) );
    std::make_shared<sessions::session>( *instances.at( number )->context,
                                         wanted, profile, answer )
        ->start();
    return answer;
}

auto test_fleet::target( std::string const& id )
    -> std::shared_ptr<routing::target>
{
    return instances.front()->targets.find( core::target_id( id ) );
}

auto test_fleet::busy_engine() -> std::string
{
    for ( auto const& each : instances.front()->targets.all() )
    {
        if ( each->open_requests() > 0 )
            return each->identity().id.str();
    }
    return {};
}

auto patient_profile() -> profiles::profile
{
    auto p = profiles::profile{};
    p.id = core::profile_id( "patient" );
    p.service = core::service_id( "model" );
    p.time_base = 10min;
    p.time_per_1k_tokens = 1s;
    p.retries = 3;
    p.max_output = core::token_count( 32 );
    return p;
}

auto expected_answer( std::string const& prompt, std::int64_t tokens )
    -> std::string
{
    auto text = std::string{};
    for ( auto p = std::int64_t{ 0 }; p < tokens; ++p )
        text += standins::token_text( prompt, p );
    return text;
}

auto make_prompt( std::int64_t tokens, int seed ) -> std::string
{
    constexpr auto bytes_per_token = std::int64_t{ 4 };
    auto prompt = "prompt " + std::to_string( seed ) + " ";
    prompt.resize( static_cast<std::size_t>( tokens * bytes_per_token ), 'x' );
    return prompt;
}

}
