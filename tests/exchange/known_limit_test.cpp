#include <pollenstream/exchange/known_limit.hpp>

#include <catch2/catch.hpp>

#include <cmath>

using namespace pollenstream;
using namespace std::chrono_literals;
using exchange::limit_change;

namespace
{

auto at( core::duration time ) -> core::instant
{
    return core::instant( 100s ) + time;
}

/// The report of an answer whose head arrived at `heard`, to a request that was
/// sent at `sent`.
auto report( std::optional<double> per_second,
             core::duration sent,
             core::duration heard ) -> exchange::limit_report
{
    return { per_second, at( sent ), at( heard ) };
}

}

TEST_CASE( "a limit is known from the first answer that reports it",
           "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    CHECK_FALSE( limit.per_second() );
    CHECK( limit.note_report( report( std::nullopt, 0ms, 10ms ) ) ==
           limit_change::none );
    CHECK( limit.note_report( report( 1.3, 20ms, 30ms ) ) ==
           limit_change::started );
    CHECK( limit.note_report( report( 1.3, 40ms, 50ms ) ) ==
           limit_change::none );
    CHECK( limit.per_second() == 1.3 );
}

TEST_CASE( "only a later answer without a limit ends it", "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.note_report( report( 1.3, 0ms, 100ms ) );
    CHECK( limit.note_report( report( std::nullopt, 50ms, 150ms ) ) ==
           limit_change::none );
    CHECK( limit.note_report( report( std::nullopt, 99ms, 900ms ) ) ==
           limit_change::none );
    CHECK( limit.note_report( report( std::nullopt, 100ms, 110ms ) ) ==
           limit_change::ended );
    SECTION( "an older answer with the limit does not restore it" )
    {
        CHECK( limit.note_report( report( 1.3, 20ms, 100ms ) ) ==
               limit_change::none );
    }
    SECTION( "an overlapping answer with the limit restores it" )
    {
        CHECK( limit.note_report( report( 1.3, 20ms, 105ms ) ) ==
               limit_change::started );
    }
}

TEST_CASE( "a lower limit applies at once, a higher one only if it is newer",
           "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.note_report( report( 2.0, 0ms, 100ms ) );
    CHECK( limit.note_report( report( 1.0, 50ms, 90ms ) ) ==
           limit_change::lowered );
    CHECK( limit.note_report( report( 4.0, 60ms, 120ms ) ) ==
           limit_change::none );
    CHECK( limit.note_report( report( 4.0, 90ms, 120ms ) ) ==
           limit_change::raised );
    CHECK( limit.note_report( report( 0.5, 10ms, 80ms ) ) ==
           limit_change::none );
    CHECK( limit.per_second() == 4.0 );
}

TEST_CASE( "a report that is not a valid rate is ignored", "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.note_report( report( 2.0, 0ms, 100ms ) );
    for ( auto const invalid_rate :
          { -1.0, std::nan( "" ), HUGE_VAL, -HUGE_VAL } )
        CHECK( limit.note_report( report( invalid_rate, 200ms, 210ms ) ) ==
               limit_change::none );
    CHECK( limit.per_second() == 2.0 );
}
