#include <pollenstream/scheduling/return_bookings.hpp>

#include <catch2/catch.hpp>

#include <limits>

using namespace std::chrono_literals;
using namespace pollenstream;
using scheduling::return_kind;

namespace
{

auto const model = core::service_id( "model" );
auto const start = core::instant( 100s );

auto prompt( int content, int priority = 0 ) -> scheduling::refused_prompt
{
    auto refused = scheduling::refused_prompt{};
    refused.content = core::content_id( content );
    refused.service = model;
    refused.priority = priority;
    refused.prefill = 2s;
    refused.first_event = 500ms;
    refused.time_left = 12s;
    return refused;
}

/// Books and returns the delay from `start`; zero if nothing was booked.
auto delay_of( scheduling::return_bookings& bookings,
               scheduling::refused_prompt const& refused,
               core::duration ahead = 4s ) -> core::duration
{
    auto const made = bookings.book( refused, { 4, ahead }, start );
    return made ? made->at - start : core::duration( 0 );
}

/// The kind of a request that arrives and is looked up at `now`.
auto kind_at( scheduling::return_bookings& bookings,
              int content,
              core::instant now ) -> return_kind
{
    return bookings.take( core::content_id( content ), model, now, now ).kind;
}

}

/// Guards against one Retry-After for all, with which callers return together.
TEST_CASE( "each refused caller is booked after the work before it",
           "[scheduling][bookings]" )
{
    auto bookings = scheduling::return_bookings{};
    // Four engines prefill the 4 s of work that is open or waits within 1 s,
    // and each booking of 2 s in half a second more.
    CHECK( delay_of( bookings, prompt( 1 ) ) == 1s );
    CHECK( delay_of( bookings, prompt( 2 ) ) == 1500ms );
    CHECK( delay_of( bookings, prompt( 3 ) ) == 2s );
    SECTION( "the same caller keeps its time" )
    {
        CHECK( delay_of( bookings, prompt( 2 ) ) == 1500ms );
        CHECK( bookings.counters().made.value() == 3 );
    }
    SECTION( "a more urgent one is not put behind less urgent ones" )
    {
        CHECK( delay_of( bookings, prompt( 4, -1 ) ) == 1s );
    }
    SECTION( "another service has its own capacity" )
    {
        auto other = prompt( 5 );
        other.service = core::service_id( "other" );
        CHECK( delay_of( bookings, other ) == 1s );
    }
    SECTION( "capacity that is expected at once is not tried at once" )
    {
        auto idle = scheduling::return_bookings{};
        CHECK( delay_of( idle, prompt( 1 ), 0s ) == 50ms );
    }
}

/// Guards against a Retry-After that the caller cuts short, or that leads to a
/// second refusal.
TEST_CASE( "nothing is booked that the caller cannot use",
           "[scheduling][bookings]" )
{
    auto bookings = scheduling::return_bookings{};
    auto refused = prompt( 1 );
    SECTION( "the time is beyond a third of what the caller has left" )
    {
        refused.time_left = 2900ms;
    }
    SECTION( "the first event would come after the caller's time" )
    {
        refused.first_event = 11500ms;
    }
    SECTION( "the content is not known" )
    {
        refused.content = {};
    }
    CHECK( delay_of( bookings, refused ) == 0s );
    CHECK_FALSE( bookings.book( prompt( 2 ), { 0, 0s }, start ) );
    CHECK( bookings.size( start ) == 0 );
}

TEST_CASE( "a booking is used once, from its time until one second after it",
           "[scheduling][bookings]" )
{
    auto bookings = scheduling::return_bookings{};
    REQUIRE( delay_of( bookings, prompt( 1 ) ) == 1s );
    auto const at = start + 1s;
    CHECK( bookings.next( start ) == at );
    CHECK( kind_at( bookings, 2, at ) == return_kind::none );
    SECTION( "the caller returns early and then on time" )
    {
        CHECK( kind_at( bookings, 1, at - 300ms ) == return_kind::early );
        CHECK( kind_at( bookings, 1, at ) == return_kind::on_time );
        CHECK( kind_at( bookings, 1, at ) == return_kind::none );
        CHECK( bookings.close( core::content_id( 1 ) ) );
        CHECK( bookings.counters().early.value() == 1 );
        CHECK( bookings.counters().kept.value() == 1 );
    }
    SECTION( "a withdrawn request does not use it up" )
    {
        CHECK( kind_at( bookings, 1, at ) == return_kind::on_time );
        bookings.release( core::content_id( 1 ) );
        CHECK( kind_at( bookings, 1, at + 100ms ) == return_kind::on_time );
    }
    SECTION( "the refusal of the same attempt was lost" )
    {
        auto const known = bookings.take( core::content_id( 1 ), model,
                                          start - 10ms, start + 250ms );
        CHECK( known.kind == return_kind::repeated );
        CHECK( known.booked_at == at );
    }
    SECTION( "it lapses, and its capacity is free for others" )
    {
        CHECK( kind_at( bookings, 1, at + 1001ms ) == return_kind::none );
        CHECK( bookings.counters().lapsed.value() == 1 );
        CHECK( delay_of( bookings, prompt( 3 ) ) == 1s );
    }
    SECTION( "its content is served meanwhile" )
    {
        CHECK( bookings.close( core::content_id( 1 ) ) );
        CHECK( bookings.counters().dropped.value() == 1 );
        CHECK( delay_of( bookings, prompt( 3 ) ) == 1s );
    }
}

TEST_CASE( "bookings of another coordinator are honoured until they are ended",
           "[scheduling][bookings]" )
{
    auto bookings = scheduling::return_bookings{};
    auto const content = core::content_id( 1 );
    auto const at = start + 1s;
    bookings.add( { content, model, at, 2s }, start );
    bookings.add( { content, model, at, 2s }, start ); // a duplicate
    CHECK( bookings.size( start ) == 1 );
    CHECK( delay_of( bookings, prompt( 2 ) ) == 1500ms );
    SECTION( "ended by the other one" )
    {
        bookings.remove( content );
        CHECK( kind_at( bookings, 1, at ) == return_kind::none );
    }
    SECTION( "ended after the caller has returned here" )
    {
        CHECK( kind_at( bookings, 1, at ) == return_kind::on_time );
        bookings.remove( content );
        CHECK( bookings.close( content ) );
        CHECK( bookings.counters().kept.value() == 1 );
    }
    SECTION( "of two that lapse, the copy is not counted here" )
    {
        CHECK( kind_at( bookings, 1, at + 2s ) == return_kind::none );
        CHECK( bookings.size( at + 2s ) == 0 );
        CHECK( bookings.counters().lapsed.value() == 1 );
    }
}

TEST_CASE( "the oldest bookings are evicted at the limit",
           "[scheduling][bookings]" )
{
    auto bookings = scheduling::return_bookings{};
    auto small = prompt( 0 );
    small.prefill = 1ms;
    auto const count =
        static_cast<int>( scheduling::return_bookings::max_bookings ) + 10;
    for ( auto i = 1; i <= count; ++i )
    {
        small.content = core::content_id( i );
        bookings.book( small, { 4, 0s }, start );
    }
    CHECK( bookings.size( start ) ==
           scheduling::return_bookings::max_bookings );
    CHECK( bookings.counters().dropped.value() == 10 );
    CHECK( kind_at( bookings, 10, start + 1ms ) == return_kind::none );
    CHECK( kind_at( bookings, 11, start + 1ms ) == return_kind::early );
}
