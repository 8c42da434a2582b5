#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

using namespace tests;

// Guards against answers that take memory without end, or by the length that
// their head announces: such an answer does not count.

namespace
{

constexpr auto piece_bytes = std::size_t{ 16 } * 1024;
constexpr auto max_pieces = std::size_t{ 1'000 };

/// Sends pieces until the attempt is cancelled; returns the number of bytes.
auto send_until_cancelled( sent_request& target, std::string const& piece )
    -> std::size_t
{
    auto sent = std::size_t{ 0 };
    for ( auto i = std::size_t{ 0 }; i < max_pieces && !target.cancelled; ++i )
    {
        target.listener->on_body( piece );
        sent += piece.size();
    }
    return sent;
}

}

TEST_CASE( "a call whose answer does not end is retried elsewhere",
           "[exchange][endless]" )
{
    auto f = exchange_fixture{};
    auto const status = GENERATE( 200, 404, 500 );
    f.start( f.request( "/safe/x" ) );
    auto const first = f.targets.all.at( 0 );
    first->head( status );
    auto const sent =
        send_until_cancelled( *first, std::string( piece_bytes, 'x' ) );
    CHECK( first->cancelled );
    CHECK( sent <=
           f.context.configuration->limits.max_body_bytes + piece_bytes );
    CHECK( f.answer_memory->used_bytes() == 0 );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->answer( 200, "whole" );
    CHECK( f.answer->whole.body == "whole" );
}

TEST_CASE( "an event that does not end ends its attempt",
           "[exchange][endless]" )
{
    auto f = exchange_fixture{};
    f.start( f.request( "/chat/x" ) );
    auto const first = f.targets.all.at( 0 );
    first->head( 200 );
    first->event( 1 );
    auto const sent =
        send_until_cancelled( *first, std::string( piece_bytes, 'x' ) );
    CHECK( first->cancelled );
    CHECK( sent <= 6 * piece_bytes );
    REQUIRE( f.targets.all.size() == 2 );
    f.targets.all[1]->head( 200 );
    f.targets.all[1]->event( 2 );
    f.targets.all[1]->complete();
    CHECK( f.answer->stream == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" );
}

TEST_CASE( "an answer that announces too much is rejected at its head",
           "[exchange][endless]" )
{
    auto f = exchange_fixture{};
    auto head = exchange::answer_head{};
    head.status = 200;
    head.has_seal = true;
    head.announced_bytes = std::uint64_t{ 1 } << 50U;
    SECTION( "a safe call runs at another target" )
    {
        f.start( f.request( "/safe/x" ) );
        f.targets.all.at( 0 )->listener->on_head( head );
        CHECK( f.targets.all[0]->cancelled );
        CHECK( f.targets.all.size() == 2 );
    }
    SECTION( "a call that is not idempotent fails" )
    {
        f.start( f.request( "/unsafe/x" ) );
        f.targets.all.at( 0 )->listener->on_head( head );
        CHECK( f.targets.all.size() == 1 );
        CHECK( f.answer->whole.status == 502 );
    }
    SECTION( "a stream is never kept whole" )
    {
        f.start( f.request( "/once/x" ) );
        f.targets.all.at( 0 )->listener->on_head( head );
        f.targets.all[0]->event( 1 );
        CHECK_FALSE( f.targets.all[0]->cancelled );
        f.targets.all[0]->complete();
    }
}

TEST_CASE( "an answer that finds no memory waits for older ones",
           "[exchange][memory]" )
{
    auto f = exchange_fixture{};
    auto& memory = *f.answer_memory;
    auto const others = memory.left_bytes() - 2 * piece_bytes;
    REQUIRE( memory.take( others ) );
    auto const piece = std::string( piece_bytes, 'x' );
    auto kept = std::vector<std::shared_ptr<exchange::exchange>>{};
    for ( auto i = 0; i < 4; ++i )
        kept.push_back( f.start( f.request( "/unsafe/x" ) ) );
    REQUIRE( f.targets.all.size() == 4 );
    for ( auto const& target : f.targets.all )
    {
        target->head( 200 );
        target->listener->on_body( piece );
    }
    // Two fit. Of the others the older one goes on: it is to end soon.
    CHECK_FALSE( f.targets.all[0]->paused );
    CHECK_FALSE( f.targets.all[1]->paused );
    CHECK_FALSE( f.targets.all[2]->paused );
    CHECK( f.targets.all[3]->paused );
    f.targets.all[0]->listener->on_body( piece );
    CHECK_FALSE( f.targets.all[0]->paused );
    f.scheduler.run( std::chrono::milliseconds( 50 ) );
    CHECK( f.targets.all[3]->paused );

    for ( auto i = std::size_t{ 0 }; i < 3; ++i )
        f.targets.all[i]->complete();
    f.scheduler.run( std::chrono::milliseconds( 50 ) );
    CHECK_FALSE( f.targets.all[3]->paused );
    f.targets.all[3]->listener->on_body( piece );
    f.targets.all[3]->complete();
    CHECK( f.answer->whole.body.size() == 2 * piece_bytes );
    CHECK( memory.used_bytes() == others );
    CHECK( f.context.answers_without_memory.size() == 0 );
}

TEST_CASE( "a target that is not read for want of memory is not silent",
           "[exchange][memory]" )
{
    auto f = exchange_fixture{};
    auto const others = f.answer_memory->left_bytes();
    REQUIRE( f.answer_memory->take( others ) );
    auto const first = f.start( f.request( "/safe/x" ) );
    auto const second = f.start( f.request( "/safe/x" ) );
    for ( auto const& target : f.targets.all )
    {
        target->head( 200 );
        target->listener->on_body( "x" );
    }
    REQUIRE( f.targets.all.size() == 2 );
    REQUIRE( f.targets.all[1]->paused );
    // Nor does the older one, which is read, count as silent before its time.
    f.targets.all[0]->complete();
    f.answer_memory->give_back( others );
    f.scheduler.run( std::chrono::milliseconds( 20 ) );
    CHECK_FALSE( f.targets.all[1]->paused );
    f.targets.all[1]->complete();
    CHECK( f.targets.all.size() == 2 );
    CHECK( f.answer->whole.status == 200 );
}

TEST_CASE( "an answer that waits for memory ends at its deadline",
           "[exchange][memory]" )
{
    auto f = exchange_fixture{};
    auto const others = f.answer_memory->left_bytes();
    REQUIRE( f.answer_memory->take( others ) );
    auto const first = f.start( f.request( "/unsafe/x" ) );
    auto const second = f.start( f.request( "/unsafe/x" ) );
    for ( auto const& target : f.targets.all )
    {
        target->head( 200 );
        target->listener->on_body( "x" );
    }
    f.scheduler.run( std::chrono::seconds( 60 ) );
    CHECK( f.targets.all[1]->cancelled );
    CHECK( f.answer->whole.status == 504 );
    CHECK( f.answer_memory->used_bytes() == others );
    CHECK( f.context.answers_without_memory.size() == 0 );
}
