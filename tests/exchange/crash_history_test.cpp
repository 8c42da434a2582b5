#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/crash_history.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto expiry_time = core::duration( 6s );
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

TEST_CASE( "a content that broke off at three targets is quarantined",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    auto reported = std::vector<exchange::content_id>{};
    auto to_confirm = std::vector<std::string>{};
    history.on_quarantined = [&reported]( auto which )
    {
        reported.push_back( which );
    };
    history.on_confirmation_needed = [&to_confirm]( auto const& last )
    {
        to_confirm.push_back( last.target.id.str() );
    };
    history.note_crash( crash( "a" ) );
    history.note_crash( crash( "b" ) );
    // The same crash, as another instance saw it.
    history.note_crash( crash( "b", start + 3ms ) );
    history.confirm( content );
    CHECK_FALSE( history.awaits_confirmation( content ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    CHECK( to_confirm.empty() );
    history.note_crash( crash( "c" ) );
    CHECK( to_confirm == std::vector<std::string>{ "c" } );
    CHECK( history.awaits_confirmation( content ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    SECTION( "unless the last target is alive" )
    {
        history.note_alive( core::target_id( "c" ), start + 1ms );
        CHECK_FALSE( history.awaits_confirmation( content ) );
        history.confirm( content );
        CHECK_FALSE( history.is_quarantined( content ) );
        CHECK( history.count( content ) == 2 );
        return;
    }
    history.confirm( content );
    CHECK( history.is_quarantined( content ) );
    history.note_crash( crash( "d" ) );
    history.confirm( content );
    CHECK( reported.size() == 1 );
    CHECK( to_confirm.size() == 1 );
    CHECK( history.quarantined().size() == 4 );
    CHECK_FALSE( history.is_quarantined( exchange::content_id( 8 ) ) );
}

TEST_CASE( "a content that is served is no longer a suspect",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.confirm( content );
    CHECK( history.note_served( content, start + 1s ) );
    CHECK_FALSE( history.is_quarantined( content ) );
    CHECK_FALSE( history.note_served( content, start + 1s ) );
    // A late report of another instance.
    history.note_crash( crash( "a" ) );
    CHECK( history.count( content ) == 0 );
    history.note_crash( crash( "d", start + 2s ) );
    CHECK( history.count( content ) == 1 );
}

TEST_CASE( "a target that answers a later request has not crashed",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.confirm( content );
    SECTION( "unless the request was sent before the crash" )
    {
        history.note_answer( core::target_id( "a" ), start - 1ms );
        CHECK( history.is_quarantined( content ) );
    }
    SECTION( "if the request was sent after the crash" )
    {
        history.note_answer( core::target_id( "a" ), start + 1ms );
        CHECK_FALSE( history.is_quarantined( content ) );
        history.note_crash( crash( "a" ) );
        CHECK( history.count( content ) == 2 );
    }
    SECTION( "unless it answers in another lifetime" )
    {
        history.note_answer(
            { core::target_id( "a" ), core::target_lifetime( 5 ) },
            start + 1ms );
        CHECK( history.is_quarantined( content ) );
    }
}

TEST_CASE(
    "a target that is listed after its record would have expired is alive",
    "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.confirm( content );
    auto const a_is_listed = []( exchange::target_ref const& ref )
    {
        return ref.id.str() == "a";
    };
    history.prune( start + expiry_time, a_is_listed );
    CHECK( history.is_quarantined( content ) );
    history.prune( start + expiry_time + 1ms, nothing_listed );
    CHECK( history.is_quarantined( content ) );
    history.prune( start + expiry_time + 1ms, a_is_listed );
    CHECK( history.count( content ) == 2 );
}

TEST_CASE( "the crash history is bounded in time and size",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.confirm( content );
    for ( auto i = 100; i < 10'000; ++i )
        history.note_crash(
            { exchange::content_id( i ), core::target_id( "x" ), start + 1s } );
    CHECK( history.all().size() < 2'100 );
    // Contents with the fewest crashes are evicted first.
    CHECK( history.is_quarantined( content ) );
    history.prune( start + 11min, nothing_listed );
    CHECK( history.all().empty() );
}
