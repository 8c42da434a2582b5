#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/wide_queue.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "a wide prompt that is alone chooses at once", "[wide]" )
{
    auto queue = exchange::wide_queue{};
    auto const now = core::instant( 100s );
    queue.enter( now + 3s );
    CHECK( queue.may_choose( now + 3s, 0.99, now ) );
}

TEST_CASE( "the wide prompt that is due first chooses before all others",
           "[wide]" )
{
    auto queue = exchange::wide_queue{};
    auto const now = core::instant( 100s );
    queue.note( core::instance_id( "b" ), { 2, now + 2s } );
    queue.note( core::instance_id( "c" ), { 1, now + 4s } );
    CHECK( queue.may_choose( now + 1s, 0.99, now ) );
    SECTION( "and the others draw lots, so that about one of them tries" )
    {
        CHECK_FALSE( queue.may_choose( now + 3s, 0.26, now ) );
        CHECK( queue.may_choose( now + 3s, 0.24, now ) );
    }
    SECTION( "one that is late already has no right to go first" )
    {
        CHECK_FALSE( queue.may_choose( now - 1s, 0.9, now ) );
        queue.note( core::instance_id( "b" ), { 2, now - 2s } );
        queue.note( core::instance_id( "c" ), { 0, std::nullopt } );
        CHECK( queue.may_choose( now + 3s, 0.9, now ) );
    }
    SECTION( "an instance that has ended waits for nothing" )
    {
        queue.forget( core::instance_id( "b" ) );
        queue.forget( core::instance_id( "c" ) );
        CHECK( queue.may_choose( now + 3s, 0.99, now ) );
    }
}

TEST_CASE( "an instance tells of the wide prompts that wait there", "[wide]" )
{
    auto queue = exchange::wide_queue{};
    auto const now = core::instant( 100s );
    CHECK( queue.own( now ).count == 0 );
    queue.enter( now - 1s );
    CHECK( queue.own( now ).count == 1 );
    CHECK_FALSE( queue.own( now ).first_due );
    queue.enter( now + 2s );
    queue.enter( now + 1s );
    REQUIRE( queue.own( now ).first_due );
    CHECK( *queue.own( now ).first_due == now + 1s );
    queue.leave( now + 1s );
    CHECK( *queue.own( now ).first_due == now + 2s );
}

/// 20 instances have an audit each when engines come free, and hear of each
/// other's choices a turn later.
TEST_CASE( "of many that wait few choose at the same moment", "[wide][load]" )
{
    auto const now = core::instant( 100s );
    auto random = std::minstd_rand( 3 );
    auto rounds_with_many = 0;
    for ( auto round = 0; round < 200; ++round )
    {
        auto choosing = 0;
        for ( auto i = 0; i < 20; ++i )
        {
            auto queue = exchange::wide_queue{};
            for ( auto j = 0; j < 20; ++j )
                if ( j != i )
                    queue.note( core::instance_id( std::to_string( j ) ),
                                { 1, now + 1s + j * 10ms } );
            auto const draw =
                std::uniform_real_distribution<>( 0, 1 )( random );
            choosing += queue.may_choose( now + 1s + i * 10ms, draw, now );
        }
        CHECK( choosing >= 1 );
        rounds_with_many += choosing > 4 ? 1 : 0;
    }
    CHECK( rounds_with_many <= 10 );
}

TEST_CASE( "a wide prompt waits its turn though engines are free",
           "[exchange][wide]" )
{
    auto f = exchange_fixture{};
    f.board.wide().note( core::instance_id( "other" ),
                         { 50, f.scheduler.now() + 100ms } );
    auto request = f.request( "/audit/" );
    request.prompt->prompt_tokens = 110'000;
    auto const open = f.start( std::move( request ) );
    CHECK( f.targets.all.empty() );
    CHECK( f.board.wide().own( f.scheduler.now() ).count == 1 );
    // The other one has been placed.
    f.board.wide().note( core::instance_id( "other" ), {} );
    f.scheduler.run( 100ms );
    CHECK( f.targets.all.size() == 1 );
    CHECK( f.board.wide().own( f.scheduler.now() ).count == 0 );
    open->on_caller_gone();
}

TEST_CASE( "a wide prompt does not count itself among those in time", "[wide]" )
{
    auto queue = exchange::wide_queue{};
    auto const now = core::instant( 100s );
    queue.enter( now + 1s );
    CHECK_FALSE( queue.others_in_time( now + 1s, now ) );
    CHECK( queue.others_in_time( now + 2s, now ) );
    // Late ones do not count, here or elsewhere.
    CHECK_FALSE( queue.others_in_time( now + 2s, now + 1500ms ) );
    queue.note( core::instance_id( "other" ), { 1, std::nullopt } );
    CHECK_FALSE( queue.others_in_time( now + 1s, now ) );
    queue.note( core::instance_id( "other" ), { 1, now + 3s } );
    CHECK( queue.others_in_time( now + 1s, now ) );
}
