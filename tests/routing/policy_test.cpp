#include <pollenstream/routing/first_token_model.hpp>
#include <pollenstream/routing/policy_registry.hpp>
#include <pollenstream/routing/prefix_index.hpp>
#include <pollenstream/routing/target_table.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace profiles = pollenstream::profiles;
namespace routing = pollenstream::routing;

namespace
{

auto const start = core::instant( 100s );

auto identities( int count ) -> std::vector<routing::target_identity>
{
    auto all = std::vector<routing::target_identity>{};
    for ( auto i = 0; i < count; ++i )
        all.push_back( { core::target_id( "t" + std::to_string( i ) ),
                         core::service_id( "s" ),
                         core::data_centre_id( "p" ),
                         { "127.0.0.1", 1 } } );
    return all;
}

auto report( std::int64_t urgent, std::int64_t bulk ) -> ports::load_report
{
    auto r = ports::load_report{};
    r.backlog = { urgent, 0, bulk };
    r.memory_total = 400'000;
    r.prefill_rate = 20'000;
    r.decode_rate = 50;
    return r;
}

auto short_request() -> routing::request_shape
{
    auto shape = routing::request_shape{};
    shape.priority = profiles::priority::urgent;
    shape.prompt_tokens = 1'000;
    shape.output_tokens = 32;
    return shape;
}

}

TEST_CASE( "own dispatches count until the first token or a newer report",
           "[routing]" )
{
    auto t = routing::target( identities( 1 ).front() );
    t.take_report( report( 5'000, 0 ), start );
    auto const work =
        routing::dispatched_work{ profiles::priority::urgent, 3'000, 4'000 };
    t.add_dispatch( work );
    CHECK( t.backlog_before( profiles::priority::urgent, start ) == 8'000 );
    // 200 ms at 20,000 tokens a second are 4,000 tokens.
    CHECK( t.backlog_before( profiles::priority::urgent, start + 200ms ) ==
           4'000 );
    // Own work without a first token is certainly still there.
    CHECK( t.backlog_before( profiles::priority::urgent, start + 10s ) ==
           3'000 );
    t.end_prefill( work );
    CHECK( t.backlog_before( profiles::priority::urgent, start + 10s ) == 0 );
    CHECK( t.free_memory() == 396'000 );
}

TEST_CASE( "a load report older than the last one is ignored", "[routing]" )
{
    auto t = routing::target( identities( 1 ).front() );
    t.take_report( report( 100, 0 ), start );
    auto old = report( 9'000, 0 );
    old.age = 1s;
    t.take_report( old, start + 500ms );
    CHECK( t.backlog_before( profiles::priority::urgent, start ) == 100 );
}

TEST_CASE( "urgent work does not wait for bulk work", "[routing]" )
{
    auto t = routing::target( identities( 1 ).front() );
    t.take_report( report( 0, 300'000 ), start );
    auto const first_token_seconds = [&]( profiles::priority priority )
    {
        return routing::predict_first_token_seconds(
            t, { priority, 1'000, 1'000 }, start );
    };
    CHECK( first_token_seconds( profiles::priority::urgent ) < 0.1 );
    CHECK( first_token_seconds( profiles::priority::bulk ) > 15.0 );
}

TEST_CASE( "every policy avoids tried targets and those that are not alive",
           "[routing]" )
{
    auto table = routing::target_table();
    table.replace( identities( 6 ), start );
    auto const phases = std::map<std::string, routing::target_phase>{
        { "t0", routing::target_phase::leaving },
        { "t1", routing::target_phase::suspect },
        { "t2", routing::target_phase::gone } };
    for ( auto const& [id, phase] : phases )
        table.find( core::target_id( id ) )->set_phase( phase, start );
    auto shape = short_request();
    shape.tried = { core::target_id( "t3" ) };
    for ( auto const name : routing::policy_names() )
    {
        auto const policy = routing::make_policy( name, 1 );
        for ( auto i = 0; i < 50; ++i )
        {
            auto const choice =
                table.read( core::service_id( "s" ),
                            [&]( routing::target_list const& all )
                            {
                                return policy->choose( all, shape, start );
                            } );
            REQUIRE( choice );
            auto const& id = choice->chosen->identity().id.str();
            INFO( name );
            CHECK( ( id == "t4" || id == "t5" ) );
        }
    }
}

TEST_CASE( "the predicted policy spreads requests over the idle targets",
           "[routing]" )
{
    auto table = routing::target_table();
    table.replace( identities( 5 ), start );
    for ( auto const& each : table.all() )
        each->take_report( report( 50'000, 0 ), start );
    auto const idle = { "t1", "t3" };
    for ( auto const* const id : idle )
        table.find( core::target_id( id ) )
            ->take_report( report( 0, 0 ), start );
    auto const policy = routing::make_policy( "predicted", 1 );
    auto counts = std::map<std::string, int>{};
    for ( auto i = 0; i < 200; ++i )
    {
        auto const choice = table.read( core::service_id( "s" ),
                                        [&]( routing::target_list const& all )
                                        {
                                            return policy->choose(
                                                all, short_request(), start );
                                        } );
        ++counts[choice->chosen->identity().id.str()];
    }
    CHECK( counts.size() == 2 );
    CHECK( counts["t1"] > 50 );
    CHECK( counts["t3"] > 50 );
}

TEST_CASE( "a prompt goes to the target that has cached its prefix",
           "[routing]" )
{
    auto table = routing::target_table();
    table.replace( identities( 5 ), start );
    for ( auto const& each : table.all() )
        each->take_report( report( 0, 0 ), start );
    auto const policy = routing::make_policy( "predicted", 1 );
    auto shape = short_request();
    shape.prompt_tokens = 20'000;
    shape.prefixes = core::mark_prefixes( std::string( 80'000, 'x' ) );
    policy->note_cached( core::target_id( "t2" ), shape.prefixes );
    auto const choice =
        table.read( core::service_id( "s" ),
                    [&]( routing::target_list const& all )
                    {
                        return policy->choose( all, shape, start );
                    } );
    CHECK( choice->chosen->identity().id == core::target_id( "t2" ) );
    CHECK( choice->cached_tokens == 16'384 );
}

TEST_CASE( "the prefix index is bounded and evicts the least recently used",
           "[routing]" )
{
    auto index = routing::prefix_index( 2 );
    auto const at = core::target_id( "t" );
    index.note( { { 1'024, 1 } }, at );
    index.note( { { 1'024, 2 } }, at );
    CHECK( index.find( { { 1'024, 1 } } ) );
    index.note( { { 1'024, 3 } }, at );
    CHECK( index.size() == 2 );
    CHECK( index.find( { { 1'024, 1 } } ) );
    CHECK_FALSE( index.find( { { 1'024, 2 } } ) );
    index.forget( at );
    CHECK( index.size() == 0 );
}

TEST_CASE( "a target that stays in the list is kept, a missing one is gone",
           "[routing]" )
{
    auto table = routing::target_table();
    table.replace( identities( 2 ), start );
    auto const kept = table.find( core::target_id( "t0" ) );
    auto const lost = table.find( core::target_id( "t1" ) );
    table.replace( identities( 1 ), start );
    CHECK( table.find( core::target_id( "t0" ) ) == kept );
    CHECK( lost->phase() == routing::target_phase::gone );
    CHECK_FALSE( lost->may_get_work( start + 10s ) );
}
