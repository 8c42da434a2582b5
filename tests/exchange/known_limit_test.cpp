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

/// An answer that began at `heard` to a request that was sent at `sent`.
auto said( std::optional<double> per_second,
           core::duration sent,
           core::duration heard ) -> exchange::limit_report
{
    return { per_second, at( sent ), at( heard ) };
}

}

TEST_CASE( "a limit is believed from the first answer that names it",
           "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    CHECK_FALSE( limit.per_second() );
    CHECK( limit.take( said( std::nullopt, 0ms, 10ms ) ) ==
           limit_change::none );
    CHECK( limit.take( said( 1.3, 20ms, 30ms ) ) == limit_change::named );
    CHECK( limit.take( said( 1.3, 40ms, 50ms ) ) == limit_change::none );
    CHECK( limit.per_second() == 1.3 );
}

TEST_CASE( "only a later answer without a limit ends it", "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.take( said( 1.3, 0ms, 100ms ) );
    CHECK( limit.take( said( std::nullopt, 50ms, 150ms ) ) ==
           limit_change::none );
    CHECK( limit.take( said( std::nullopt, 99ms, 900ms ) ) ==
           limit_change::none );
    CHECK( limit.take( said( std::nullopt, 100ms, 110ms ) ) ==
           limit_change::ended );
    SECTION( "and an older answer that names it brings nothing back" )
    {
        CHECK( limit.take( said( 1.3, 20ms, 100ms ) ) == limit_change::none );
    }
    SECTION( "and an overlapping one that names it holds" )
    {
        CHECK( limit.take( said( 1.3, 20ms, 105ms ) ) == limit_change::named );
    }
}

TEST_CASE( "a lower limit binds at once, a higher one when it is later",
           "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.take( said( 2.0, 0ms, 100ms ) );
    CHECK( limit.take( said( 1.0, 50ms, 90ms ) ) == limit_change::lowered );
    CHECK( limit.take( said( 4.0, 60ms, 120ms ) ) == limit_change::none );
    CHECK( limit.take( said( 4.0, 90ms, 120ms ) ) == limit_change::raised );
    CHECK( limit.take( said( 0.5, 10ms, 80ms ) ) == limit_change::none );
    CHECK( limit.per_second() == 4.0 );
}

TEST_CASE( "what is no number of requests changes no limit",
           "[exchange][limit]" )
{
    auto limit = exchange::known_limit{};
    limit.take( said( 2.0, 0ms, 100ms ) );
    for ( auto const rate : { -1.0, std::nan( "" ), HUGE_VAL, -HUGE_VAL } )
        CHECK( limit.take( said( rate, 200ms, 210ms ) ) == limit_change::none );
    CHECK( limit.per_second() == 2.0 );
}
