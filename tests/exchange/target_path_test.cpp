#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/own_answers.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;
using exchange::path_state;

namespace
{

constexpr auto start = core::instant( 100s );
constexpr auto probes = std::size_t{ 3 };

struct watched_path
{
    auto fail( std::string const& target ) -> void
    {
        path.note_failure( core::target_id( target ), start );
        path.report_when_sound( start,
                                [this]
                                {
                                    ++reports;
                                } );
    }
    auto fail_probes() -> void
    {
        for ( auto i = std::size_t{ 0 }; i < probes; ++i )
            path.note_failed_probe();
    }
    auto update( core::duration after, core::duration fleet_answered_after )
        -> path_state
    {
        path.update( start + after, start + fleet_answered_after, probes );
        return path.state();
    }

    exchange::target_path path;
    int reports{ 0 };
};

}

TEST_CASE( "an instance is cut if targets and probes fail and others get "
           "answers",
           "[exchange][path]" )
{
    auto f = watched_path{};
    f.fail( "m1" );
    CHECK( f.update( 10ms, 0ms ) == path_state::sound );
    f.fail( "m2" );
    CHECK( f.update( 20ms, 0ms ) == path_state::doubtful );
    f.fail_probes();
    CHECK( f.update( 200ms, 0ms ) == path_state::doubtful );
    CHECK( f.update( 300ms, 250ms ) == path_state::cut );
    f.path.note_answer( start + 400ms );
    CHECK( f.path.state() == path_state::sound );
    CHECK( f.reports == 0 );
}

TEST_CASE( "an instance is not cut while one target fails or a probe succeeds",
           "[exchange][path]" )
{
    auto f = watched_path{};
    SECTION( "one target fails often" )
    {
        f.fail( "m1" );
        f.fail( "m1" );
        f.fail_probes();
    }
    SECTION( "a probe succeeds" )
    {
        f.fail( "m1" );
        f.fail( "m2" );
        f.path.note_answer( start + 40ms );
    }
    SECTION( "no probe has failed yet" )
    {
        f.fail( "m1" );
        f.fail( "m2" );
    }
    CHECK( f.update( 500ms, 450ms ) != path_state::cut );
}

TEST_CASE( "silence of several targets is doubtful, of one it is not",
           "[exchange][path]" )
{
    auto f = watched_path{};
    f.path.note_sent( core::target_id( "m1" ), start );
    CHECK( f.update( 5s, 5s ) == path_state::sound );
    f.path.note_sent( core::target_id( "m2" ), start + 5s );
    CHECK( f.update( 5500ms, 5s ) == path_state::sound );
    CHECK( f.update( 5700ms, 5s ) == path_state::doubtful );
}

TEST_CASE( "a target's failure is reported when another target has answered",
           "[exchange][path]" )
{
    auto f = watched_path{};
    f.fail( "m1" );
    CHECK( f.reports == 0 );
    SECTION( "after an answer" )
    {
        f.path.note_answer( start + 5ms );
    }
    SECTION( "without an answer after a while" )
    {
        f.update( 1100ms, 0ms );
    }
    SECTION( "in an outage of all targets after a longer while" )
    {
        f.fail( "m2" );
        f.fail_probes();
        f.update( 1100ms, 0ms );
        CHECK( f.reports == 0 );
        f.update( 2100ms, 0ms );
        CHECK( f.reports == 2 );
        return;
    }
    CHECK( f.reports == 1 );
}

TEST_CASE( "a request at an instance that reaches no target is refused at once",
           "[exchange][path]" )
{
    auto f = exchange_fixture{};
    f.path.note_failure( core::target_id( "m1" ), f.scheduler.now() );
    f.path.note_failure( core::target_id( "m2" ), f.scheduler.now() );
    f.path.note_failed_probe();
    f.path.update( f.scheduler.now(), f.scheduler.now() + 1s, 1 );
    REQUIRE( f.path.is_cut() );
    f.start( f.request(
        GENERATE( as<std::string>{}, "/chat/x", "/safe/x", "/unsafe/x" ) ) );
    CHECK( f.targets.all.empty() );
    CHECK( f.answer->whole.status == 503 );
    CHECK( f.answer->whole.closes_connection );
    CHECK( f.log.last_outcome() == exchange::cut_reason );
}
