#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/crash_history.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto expiry_time = core::duration( 6s );
auto const start = core::instant( 100s );
auto const content = exchange::suspect_of( exchange::content_id( 7 ) );
auto const just_content = exchange::suspect_list{ content };

auto crash( std::string const& target, core::instant at = start )
    -> exchange::crashed_run
{
    return { just_content, core::target_id( target ), at };
}

auto part( int id ) -> exchange::suspect_id
{
    return exchange::suspect_of( exchange::prompt_part_id( id ) );
}

auto request( int id ) -> exchange::suspect_id
{
    return exchange::suspect_of( exchange::content_id( id ) );
}

/// Targets `a`, `b` and so on, or those with numbers, crash one after the
/// other.
auto moment_of( std::string const& target ) -> core::instant
{
    auto const letter = target.back();
    auto const number = letter >= 'a' ? letter - 'a' : letter - '0';
    return start + number * 200ms;
}

/// Adds a crash with the suspects and confirms that the target has ended.
auto add_ended( exchange::crash_history& history,
                std::string const& target,
                exchange::suspect_list suspects,
                std::optional<core::instant> at = std::nullopt ) -> void
{
    std::sort( suspects.begin(), suspects.end() );
    history.note_crash( { std::move( suspects ), core::target_id( target ),
                          at.value_or( moment_of( target ) ) } );
    history.note_ended( core::target_id( target ) );
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
    auto to_confirm = std::vector<std::string>{};
    history.on_confirmation_needed = [&to_confirm]( auto const& last )
    {
        to_confirm.push_back( last.id.str() );
    };
    history.note_crash( crash( "a" ) );
    history.note_crash( crash( "b" ) );
    // The same crash, as another instance saw it.
    history.note_crash( crash( "b", start + 3ms ) );
    history.note_ended( core::target_id( "b" ) );
    CHECK_FALSE( history.awaits_confirmation( just_content ) );
    CHECK_FALSE( history.is_quarantined( just_content ) );
    CHECK( to_confirm.empty() );
    history.note_crash( crash( "c" ) );
    CHECK( to_confirm == std::vector<std::string>{ "c" } );
    CHECK( history.awaits_confirmation( just_content ) );
    CHECK_FALSE( history.is_quarantined( just_content ) );
    SECTION( "unless the last target is alive" )
    {
        history.note_alive( core::target_id( "c" ), start + 1ms );
        CHECK_FALSE( history.awaits_confirmation( just_content ) );
        history.note_ended( core::target_id( "c" ) );
        CHECK_FALSE( history.is_quarantined( just_content ) );
        CHECK( history.count( content ) == 2 );
        return;
    }
    history.note_ended( core::target_id( "c" ) );
    CHECK( history.is_quarantined( just_content ) );
    history.note_crash( crash( "d" ) );
    history.note_ended( core::target_id( "d" ) );
    CHECK( history.quarantined_groups() == 1 );
    CHECK( to_confirm.size() == 1 );
    CHECK( history.quarantined().at( 0 ).crashes.size() == 4 );
    CHECK_FALSE( history.is_quarantined( { request( 8 ) } ) );
}

TEST_CASE( "a content that is served is no longer a suspect",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.note_ended( core::target_id( "c" ) );
    CHECK( history.note_served( just_content, start + 1s ) );
    CHECK_FALSE( history.is_quarantined( just_content ) );
    CHECK_FALSE( history.note_served( just_content, start + 1s ) );
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
    history.note_ended( core::target_id( "c" ) );
    SECTION( "unless the request was sent before the crash" )
    {
        history.note_answer( core::target_id( "a" ), start - 1ms );
        CHECK( history.is_quarantined( just_content ) );
    }
    SECTION( "if the request was sent after the crash" )
    {
        history.note_answer( core::target_id( "a" ), start + 1ms );
        CHECK_FALSE( history.is_quarantined( just_content ) );
        history.note_crash( crash( "a" ) );
        CHECK( history.count( content ) == 2 );
    }
    SECTION( "unless it answers in another lifetime" )
    {
        history.note_answer(
            { core::target_id( "a" ), core::target_lifetime( 5 ) },
            start + 1ms );
        CHECK( history.is_quarantined( just_content ) );
    }
}

TEST_CASE(
    "a target that is listed after its record would have expired is alive",
    "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.note_ended( core::target_id( "c" ) );
    auto const a_is_listed = []( exchange::target_ref const& ref )
    {
        return ref.id.str() == "a";
    };
    history.prune( start + expiry_time, a_is_listed );
    CHECK( history.is_quarantined( just_content ) );
    history.prune( start + expiry_time + 1ms, nothing_listed );
    CHECK( history.is_quarantined( just_content ) );
    history.prune( start + expiry_time + 1ms, a_is_listed );
    CHECK( history.count( content ) == 2 );
}

TEST_CASE( "the crash history is bounded in time and size",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        history.note_crash( crash( target ) );
    history.note_ended( core::target_id( "c" ) );
    for ( auto i = 100; i < 10'000; ++i )
        history.note_crash(
            { { request( i ) }, core::target_id( "x" ), start + 1s } );
    auto remembered = std::size_t{ 0 };
    for ( auto const& run : history.all() )
        remembered += run.suspects.size();
    CHECK( remembered < 4'200 );
    // What is quarantined is not evicted.
    CHECK( history.is_quarantined( just_content ) );
    history.prune( start + 11min, nothing_listed );
    CHECK( history.all().empty() );
}

TEST_CASE( "a part that differing requests share is quarantined alone",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    // All of the first three crashes are of one request, so that its content
    // and parts are not told apart.
    for ( auto const* target : { "a", "b", "c" } )
        add_ended( history, target, { request( 1 ), part( 1 ), part( 9 ) } );
    CHECK( history.is_quarantined( { request( 1 ), part( 1 ), part( 9 ) } ) );
    CHECK_FALSE( history.is_quarantined( { request( 2 ), part( 1 ) } ) );
    CHECK_FALSE(
        history.is_quarantined( { request( 2 ), part( 1 ), part( 9 ) } ) );
    history.note_served( { request( 5 ), part( 1 ) }, start );
    add_ended( history, "d", { request( 2 ), part( 9 ) }, start + 1s );
    CHECK( history.is_quarantined( { part( 9 ) } ) );
    CHECK( history.quarantined_groups() == 1 );
    CHECK_FALSE( history.is_quarantined( { request( 3 ), part( 1 ) } ) );
}

TEST_CASE( "a part that is served beside a crashing one is never held back",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    auto at = start;
    for ( auto i = 0; i < 8; ++i )
    {
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 1 ), part( 9 ) }, at );
        at += 200ms;
        history.note_served( { request( 100 + i ), part( 1 ) }, at );
        CHECK_FALSE( history.is_quarantined( { request( 50 ), part( 1 ) } ) );
    }
    CHECK( history.is_quarantined( { request( 50 ), part( 9 ) } ) );
    CHECK( history.count( part( 1 ) ) == 0 );
}

TEST_CASE( "parts that always occur together are held back together only",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto i = 0; i < 4; ++i )
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 1 ), part( 9 ) } );
    CHECK( history.is_quarantined( { request( 8 ), part( 1 ), part( 9 ) } ) );
    CHECK_FALSE( history.is_quarantined( { request( 8 ), part( 1 ) } ) );
    CHECK_FALSE( history.is_quarantined( { request( 8 ), part( 9 ) } ) );
    SECTION( "one is served without the other" )
    {
        history.note_served( { request( 8 ), part( 1 ) }, start + 1s );
        CHECK( history.is_quarantined( { request( 9 ), part( 9 ) } ) );
        CHECK_FALSE( history.is_quarantined( { request( 9 ), part( 1 ) } ) );
    }
    SECTION( "one crashes a target without the other" )
    {
        add_ended( history, "x", { request( 8 ), part( 9 ) } );
        CHECK( history.is_quarantined( { request( 9 ), part( 9 ) } ) );
        CHECK_FALSE( history.is_quarantined( { request( 9 ), part( 1 ) } ) );
    }
}

TEST_CASE( "a crash with a known cause accuses nothing else",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto i = 0; i < 4; ++i )
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 9 ) } );
    REQUIRE( history.is_quarantined( { part( 9 ) } ) );
    // The reports of requests beside the cause arrive later.
    for ( auto i = 0; i < 4; ++i )
        add_ended( history, "t" + std::to_string( i ), { request( 77 ) } );
    CHECK( history.count( request( 77 ) ) == 0 );
    CHECK_FALSE( history.is_quarantined( { request( 77 ) } ) );
}

TEST_CASE( "a mistaken quarantine ends when the cause is found",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    // Part 2 happens to be at the first three crashes, part 9 at all but one.
    add_ended( history, "a", { request( 1 ), part( 2 ), part( 9 ) } );
    add_ended( history, "b", { request( 2 ), part( 2 ), part( 9 ) } );
    add_ended( history, "c", { request( 3 ), part( 2 ) } );
    CHECK( history.is_quarantined( { part( 2 ) } ) );
    for ( auto const* target : { "d", "e", "f" } )
        add_ended( history, target, { request( 4 ), part( 9 ) } );
    add_ended( history, "g", { request( 5 ), part( 9 ) } );
    CHECK( history.is_quarantined( { part( 9 ) } ) );
    CHECK_FALSE( history.is_quarantined( { part( 2 ) } ) );
}

// Guards against two contents that crash targets, and of which each new
// quarantine of one ends that of the other.
TEST_CASE( "contents that crash the same targets do not clear each other",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    auto const one = exchange::suspect_list{ request( 1 ) };
    auto const other = exchange::suspect_list{ request( 2 ) };
    for ( auto const* target : { "a", "b", "c" } )
        add_ended( history, target, { request( 1 ), request( 2 ) } );
    add_ended( history, "d", one );
    REQUIRE( history.is_quarantined( one ) );
    REQUIRE_FALSE( history.is_quarantined( other ) );
    for ( auto const* target : { "e", "f", "g" } )
        add_ended( history, target, other );
    CHECK( history.is_quarantined( other ) );
    CHECK( history.is_quarantined( one ) );
    SECTION( "one that is served is cleared alone" )
    {
        history.note_served( one, start + 5s );
        CHECK_FALSE( history.is_quarantined( one ) );
        CHECK( history.is_quarantined( other ) );
    }
}

TEST_CASE( "only instances that know all crashes begin a quarantine",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    history.may_quarantine = []
    {
        return false;
    };
    for ( auto const* target : { "a", "b", "c" } )
        add_ended( history, target, just_content );
    CHECK_FALSE( history.is_quarantined( just_content ) );
    auto group = exchange::quarantined_group{ { part( 9 ) }, {} };
    for ( auto const* target : { "d", "e", "f" } )
        group.crashes.push_back( { core::target_id( target ), start } );
    SECTION( "others adopt it" )
    {
        history.adopt( group, start + 1s );
        CHECK( history.is_quarantined( { part( 9 ) } ) );
        history.lift_not_adopted_since( start + 1s );
        CHECK( history.is_quarantined( { part( 9 ) } ) );
        history.lift_not_adopted_since( start + 2s );
        CHECK_FALSE( history.is_quarantined( { part( 9 ) } ) );
    }
    SECTION( "unless they know that a suspect was served since" )
    {
        history.note_served( { part( 9 ) }, start + 1s );
        history.adopt( group, start + 2s );
        CHECK_FALSE( history.is_quarantined( { part( 9 ) } ) );
    }
    SECTION( "unless they know that the targets are alive" )
    {
        history.note_alive( core::target_id( "e" ), start + 1s );
        history.adopt( group, start + 2s );
        CHECK_FALSE( history.is_quarantined( { part( 9 ) } ) );
    }
}

TEST_CASE( "an instance that hears of its own answers only forgets parts soon",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    auto judges = false;
    history.may_quarantine = [&judges]
    {
        return judges;
    };
    add_ended( history, "a", { request( 1 ), part( 9 ) } );
    history.prune( start + 9s, nothing_listed );
    CHECK( history.count( part( 9 ) ) == 1 );
    SECTION( "others may have served them since" )
    {
        history.prune( start + 11s, nothing_listed );
        CHECK( history.count( part( 9 ) ) == 0 );
        CHECK( history.count( request( 1 ) ) == 1 );
    }
    SECTION( "unless it is told what was served" )
    {
        judges = true;
        history.prune( start + 11s, nothing_listed );
        CHECK( history.count( part( 9 ) ) == 1 );
    }
}

TEST_CASE( "a former coordinator keeps its quarantines until others adopt them",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto const* target : { "a", "b", "c" } )
        add_ended( history, target, { part( 9 ) } );
    history.prune( start + 60s, nothing_listed );
    history.lift_not_adopted_since( start + 58s );
    CHECK( history.is_quarantined( { part( 9 ) } ) );
    history.lift_not_adopted_since( start + 61s );
    CHECK_FALSE( history.is_quarantined( { part( 9 ) } ) );
}

TEST_CASE( "targets that crash at one moment accuse a shared part only once",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    for ( auto i = 0; i < 8; ++i )
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 1 ) }, start + i * 12ms );
    CHECK_FALSE( history.is_quarantined( { request( 50 ), part( 1 ) } ) );
    add_ended( history, "u", { request( 20 ), part( 1 ) }, start + 150ms );
    CHECK_FALSE( history.is_quarantined( { request( 50 ), part( 1 ) } ) );
    add_ended( history, "v", { request( 21 ), part( 1 ) }, start + 300ms );
    CHECK( history.is_quarantined( { request( 50 ), part( 1 ) } ) );
}

TEST_CASE( "what was served before is no cause of crashes that follow closely",
           "[exchange][crash]" )
{
    auto history = exchange::crash_history( expiry_time );
    history.note_served( { part( 1 ), part( 2 ) }, start - 1s );
    auto at = start;
    // All targets of the service crash, and none serves meanwhile.
    for ( auto i = 0; i < 8; ++i )
    {
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 1 ), part( i < 5 ? 9 : 2 ) }, at );
        at += 200ms;
    }
    CHECK_FALSE( history.is_quarantined( { request( 50 ), part( 1 ) } ) );
    CHECK_FALSE( history.is_quarantined( { request( 50 ), part( 2 ) } ) );
    CHECK( history.is_quarantined( { request( 50 ), part( 9 ) } ) );
    // Crashes that go on for long without an answer are evidence.
    for ( auto i = 8; i < 13; ++i )
    {
        add_ended( history, "t" + std::to_string( i ),
                   { request( i ), part( 2 ) }, at );
        at += 1500ms;
    }
    CHECK( history.is_quarantined( { request( 50 ), part( 2 ) } ) );
}

TEST_CASE( "the latest crashes of a suspect are remembered", "[crash_history]" )
{
    constexpr auto remembered = std::size_t{ 32 };
    auto history = exchange::crash_history( expiry_time );
    for ( auto i = 0; i < 100; ++i )
        history.note_crash(
            crash( "target-" + std::to_string( i ), start + i * 1ms ) );
    auto const crashes = history.crashes_of( content );
    REQUIRE( crashes.size() == remembered );
    CHECK( crashes.front().target.id.str() == "target-68" );
    CHECK( crashes.back().target.id.str() == "target-99" );
}

TEST_CASE( "reports of served parts are bounded", "[crash_history]" )
{
    constexpr auto reported = 100'000;
    auto history = exchange::crash_history( expiry_time );
    for ( auto i = 0; i < reported; ++i )
        history.note_served( { part( i ) }, start );
    auto const crashed = []( auto& known, int id )
    {
        known.note_crash( { { part( id ) }, core::target_id( "a" ), start } );
        return known.count( part( id ) );
    };
    CHECK( crashed( history, 0 ) == 0 );
    CHECK( crashed( history, reported - 1 ) == 1 );
}
