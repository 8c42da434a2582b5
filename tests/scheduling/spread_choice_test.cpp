#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/short_prompt_chooser.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

auto const model = core::service_id( "model" );

/// A load table with ten idle engines that has seen short prompts for 2 s.
struct spread_fixture
{
    spread_fixture()
    {
        service = *configuration->find_service( model );
        loads.mix().configure( exchange::spread_services( *configuration ) );
        for ( auto i = 0; i < 10; ++i )
            loads.put( make_target( "m" + std::to_string( i ), "model" ) );
        for ( auto i = 0; i < 200; ++i )
        {
            now += 10ms;
            add( loads.of_service( model ).front(), 5'000, 20, 0ms );
            loads.end_work( self, serial, now );
        }
    }

    auto add( std::shared_ptr<exchange::target_entry> const& at,
              std::int64_t tokens,
              double prefill_ms,
              core::duration sent_ago ) -> void
    {
        auto work = exchange::open_work{};
        work.serial = ++serial;
        work.parts = { { at->properties.id, prefill_ms, 0 } };
        work.context_tokens = tokens;
        work.tolerated_gap_ms = 200;
        work.sent_ago = sent_ago;
        loads.add_work( self, work, now );
    }

    /// Places `count` short prompts whose prefill ends at once. Returns the
    /// number of requests at each engine.
    auto place( int count ) -> std::map<std::string, int>
    {
        auto placed = std::map<std::string, int>{};
        auto demand = exchange::placement_demand{};
        demand.service = model;
        demand.prompt_tokens = 5'000;
        demand.output_tokens = 800;
        demand.latency_objective = 300ms;
        demand.gap_objective = 200ms;
        demand.min_gap_objective = 200ms;
        demand.others_in_time = long_prompt_waits;
        demand.limits = limits;
        for ( auto i = 0; i < count; ++i )
        {
            auto const result = chooser.choose( demand, service, now );
            auto const& target = result.choice.value().targets.front();
            ++placed[target->properties.id.str()];
            add( target, 5'000, 20, 0ms );
            loads.end_prefill( self, serial, now );
        }
        return placed;
    }

    [[nodiscard]] auto engines_for_short() const -> std::optional<std::size_t>
    {
        return exchange::engines_for_short( loads, model,
                                            loads.of_service( model ), now );
    }

    exchange::configuration_ptr configuration{ sample_configuration( 1 ) };
    exchange::load_table loads;
    exchange::placement chooser{ loads, core::data_centre_id( "a" ) };
    exchange::service_settings service;
    core::instance_id self{ "self" };
    core::instant now{ 100s };
    std::uint64_t serial{ 0 };
    bool long_prompt_waits{ false };
    exchange::limit_use limits{ exchange::limit_use::coordinated };
};

}

TEST_CASE( "short prompts are spread evenly over engines filled to half",
           "[mix_forecast]" )
{
    auto f = spread_fixture{};
    auto const placed = f.place( 80 );
    CHECK( placed.size() == 10 );
    for ( auto const& [id, requests] : placed )
    {
        CAPTURE( id );
        CHECK( requests <= 9 );
    }
}

// Guards against spreading that takes the engines a long prompt waits for.
TEST_CASE( "short prompts are packed while a long prompt waits",
           "[mix_forecast]" )
{
    auto f = spread_fixture{};
    f.long_prompt_waits = true;
    CHECK( f.place( 40 ).size() <= 4 );
}

// Guards against instances that all take the same engine for the emptiest, as
// none of them knows the work of the others.
TEST_CASE( "without a coordinator short prompts are packed", "[mix_forecast]" )
{
    auto f = spread_fixture{};
    f.limits = exchange::limit_use::uncoordinated;
    CHECK( f.place( 40 ).size() <= 4 );
}

// Guards against answers that a long part on their engine interrupts.
TEST_CASE( "no short prompt is spread to an engine that prefills a long part",
           "[mix_forecast]" )
{
    auto f = spread_fixture{};
    auto const busy = f.loads.of_service( model ).front();
    f.add( busy, 100'000, 180, 0ms );
    CHECK_FALSE( f.place( 60 ).contains( busy->properties.id.str() ) );
}

// Guards against a coordinator that has just started and takes the open work of
// all instances, which it hears of at once, for a wave.
TEST_CASE( "work that began long before its report is no arrival",
           "[mix_forecast]" )
{
    auto f = spread_fixture{};
    f.add( f.loads.of_service( model ).back(), 1'000'000, 49'000, 5s );
    CHECK( f.loads.mix().long_prompts( model, f.now ).requests_per_second ==
           0 );
    f.add( f.loads.of_service( model ).back(), 1'000'000, 49'000, 5ms );
    CHECK( f.loads.mix().long_prompts( model, f.now ).requests_per_second > 0 );
    CHECK_FALSE( f.engines_for_short() );
}

TEST_CASE( "the configuration decides whose short prompts are spread",
           "[mix_forecast]" )
{
    auto changed = *sample_configuration( 1 );
    CHECK( exchange::spread_services( changed ).size() == 1 );
    CHECK( exchange::spread_services( changed ).contains( model ) );

    auto equal = changed;
    for ( auto& r : equal.routes )
        r.gap_objective = 200ms;
    equal.index_routes();
    CHECK( exchange::spread_services( equal ).empty() );

    changed.services[model].engine.reset();
    CHECK( exchange::spread_services( changed ).empty() );
}

TEST_CASE( "the longest short prompt is the last that is not long",
           "[mix_forecast]" )
{
    auto const settings =
        exchange::spread_services( *sample_configuration( 1 ) ).at( model );
    auto demand = exchange::placement_demand{};
    demand.min_gap_objective = 200ms;
    demand.prompt_tokens = settings.longest_short.count();
    CHECK_FALSE(
        exchange::is_long_prompt( production_engine_speed(), demand ) );
    ++demand.prompt_tokens;
    CHECK( exchange::is_long_prompt( production_engine_speed(), demand ) );
}

// Guards against a forecast that changes the placement of services that it is
// not enabled for.
TEST_CASE( "without the forecast short prompts are packed", "[mix_forecast]" )
{
    auto f = spread_fixture{};
    f.loads.mix().configure( {} );
    CHECK_FALSE( f.engines_for_short() );
    CHECK( f.place( 40 ).size() <= 4 );
}
