#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/crash_history.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto lapse_time = core::duration( 6s );
auto const start = core::instant( 100s );
auto const content = exchange::content_id( 7 );

auto crash( std::string const& target, core::instant at = start )
    -> exchange::crashed_run
{
    return { content, core::target_id( target ), at };
}

auto nothing_listed( exchange::target_ref const& ) -> bool
{
    return false;
}

}

TEST_CASE( "a content that broke at three targets is quarantined",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( lapse_time );
    auto told = std::vector<exchange::content_id>{};
    auto looked_at = std::vector<std::string>{};
    history.on_quarantined = [&told]( auto which )
    {
        told.push_back( which );
    };
    history.on_suspected = [&looked_at]( auto const& last )
    {
        looked_at.push_back( last.target.id.str() );
    };
    history.note_crash( crash( "a" ) );
    history.note_crash( crash( "b" ) );
    // The same end, as another instance saw it.
    history.note_crash( crash( "b", start + 3ms ) );
    history.prove( content );
    CHECK_FALSE( history.awaits_proof( content ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    CHECK( looked_at.empty() );
    history.note_crash( crash( "c" ) );
    CHECK( looked_at == std::vector<std::string>{ "c" } );
    CHECK( history.awaits_proof( content ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    SECTION( "unless the last one is seen to live" )
    {
        history.note_alive( core::target_id( "c" ), start + 1ms );
        CHECK_FALSE( history.awaits_proof( content ) );
        history.prove( content );
        CHECK_FALSE( history.is_quarantined( content ) );
        CHECK( history.count( content ) == 2 );
        return;
    }
    history.prove( content );
    CHECK( history.is_quarantined( content ) );
    history.note_crash( crash( "d" ) );
    history.prove( content );
    CHECK( told.size() == 1 );
    CHECK( looked_at.size() == 1 );
    CHECK( history.quarantined().size() == 4 );
    CHECK_FALSE( history.is_quarantined( exchange::content_id( 8 ) ) );
}

TEST_CASE( "what is served is under suspicion no more", "[exchange][crash]" )
{
    auto history = exchange::crash_history( lapse_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.prove( content );
    CHECK( history.note_served( content, start + 1s ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    CHECK_FALSE( history.note_served( content, start + 1s ) );
    // Told late by another instance.
    history.note_crash( crash( "a" ) );
    CHECK( history.count( content ) == 0 );
    history.note_crash( crash( "d", start + 2s ) );
    CHECK( history.count( content ) == 1 );
}

TEST_CASE( "a target that answers later did not end", "[exchange][crash]" )
{
    auto history = exchange::crash_history( lapse_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.prove( content );
    SECTION( "to a request that was sent before, which says nothing" )
    {
        history.note_answer( core::target_id( "a" ), start - 1ms );
        CHECK( history.is_quarantined( content ) );
    }
    SECTION( "to one that was sent after" )
    {
        history.note_answer( core::target_id( "a" ), start + 1ms );
        CHECK_FALSE( history.is_quarantined( content ) );
        history.note_crash( crash( "a" ) );
        CHECK( history.count( content ) == 2 );
    }
    SECTION( "in another lifetime, which says nothing of the former one" )
    {
        history.note_answer(
            { core::target_id( "a" ), core::target_lifetime( 5 ) },
            start + 1ms );
        CHECK( history.is_quarantined( content ) );
    }
}

TEST_CASE( "a target that is listed after its entry would have lapsed lives",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( lapse_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.prove( content );
    auto const a_is_listed = []( exchange::target_ref const& ref )
    {
        return ref.id.str() == "a";
    };
    history.review( start + lapse_time, a_is_listed );
    CHECK( history.is_quarantined( content ) );
    history.review( start + lapse_time + 1ms, nothing_listed );
    CHECK( history.is_quarantined( content ) );
    history.review( start + lapse_time + 1ms, a_is_listed );
    CHECK( history.count( content ) == 2 );
}

TEST_CASE( "what is known of crashes is bounded in time and in number",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( lapse_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.prove( content );
    for ( auto i = 100; i < 10'000; ++i )
        history.note_crash(
            { exchange::content_id( i ), core::target_id( "x" ), start + 1s } );
    CHECK( history.all().size() < 2'100 );
    // What has broken least often goes first.
    CHECK( history.is_quarantined( content ) );
    history.review( start + 11min, nothing_listed );
    CHECK( history.all().empty() );
}
