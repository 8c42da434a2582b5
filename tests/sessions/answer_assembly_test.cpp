#include <pollenstream/sessions/answer_assembly.hpp>

#include <catch2/catch.hpp>

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;
namespace sessions = pollenstream::sessions;

namespace
{

auto const request = core::request_id( "r" );
auto const first = core::attempt_number( 1 );
auto const second = core::attempt_number( 2 );

auto token( std::int64_t position, core::attempt_number attempt = first )
    -> ports::engine_event
{
    return { request, attempt, position,
             "t" + std::to_string( position ) + " " };
}

}

TEST_CASE( "an answer accepts each token once and in order", "[sessions]" )
{
    auto answer = sessions::answer_assembly( request );
    CHECK( answer.accept( token( 0 ), first ) );
    CHECK( answer.accept( token( 1 ), first ) );

    SECTION( "and rejects duplicated, early and late tokens" )
    {
        CHECK_FALSE( answer.accept( token( 1 ), first ) );
        CHECK_FALSE( answer.accept( token( 0 ), first ) );
        CHECK_FALSE( answer.accept( token( 3 ), first ) );
    }
    SECTION( "and rejects events of other requests" )
    {
        auto other = token( 2 );
        other.request = core::request_id( "other" );
        CHECK_FALSE( answer.accept( other, first ) );
    }
    SECTION( "and rejects events of ended attempts" )
    {
        CHECK_FALSE( answer.accept( token( 2, first ), second ) );
        CHECK( answer.accept( token( 2, second ), second ) );
        CHECK( answer.text() == "t0 t1 t2 " );
        return;
    }
    CHECK( answer.position() == 2 );
    CHECK( answer.text() == "t0 t1 " );
}

TEST_CASE( "an answer is fully taken once it has ended and its text was taken",
           "[sessions]" )
{
    auto answer = sessions::answer_assembly( request );
    answer.accept( token( 0 ), first );
    auto last = token( 1 );
    last.last = true;
    CHECK( answer.accept( last, first ) );
    CHECK( answer.has_ended() );
    CHECK_FALSE( answer.is_fully_taken() );
    auto const ready = answer.take_ready();
    CHECK( ready.text == "t0 " );
    CHECK( ready.tokens == 1 );
    CHECK( answer.is_fully_taken() );
    CHECK_FALSE( answer.accept( token( 1 ), first ) );
}
