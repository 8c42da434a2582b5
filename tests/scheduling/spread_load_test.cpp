#include "support/simulated_engines.hpp"
#include <pollenstream/exchange/short_prompt_chooser.hpp>

#include <catch2/catch.hpp>

#include <iostream>
#include <random>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

using requests = std::vector<std::shared_ptr<simulated_request>>;

constexpr auto engine_count = 14;

/// How short prompts are placed in a play of a load.
enum class placing
{
    packed,
    spread,
};

/// One play of a load; the seed draws the times between arrivals.
struct play
{
    explicit play( placing how, unsigned seed )
        : load( engine_count, production_engine_speed(), engine_kind::passes ),
          random( seed )
    {
        if ( how == placing::packed )
            load.fixture.loads.mix().configure( {} );
    }

    /// Prompts at a rate of `per_second` from `begin` to `end`.
    auto send( requests& sent,
               std::string const& route,
               std::int64_t tokens,
               double per_second,
               core::duration begin,
               core::duration end ) -> void
    {
        auto gap = std::exponential_distribution<double>( per_second );
        for ( auto t = begin + core::duration_of( gap( random ) ); t < end;
              t += core::duration_of( gap( random ) ) )
            sent.push_back( load.schedule_request( t, route, tokens ) );
    }

    simulated_load load;
    std::minstd_rand random;
    requests shorts;
    requests longs;
};

/// Requests whose first event or whose longest gap exceeds the objective, or
/// that are not served.
auto late( requests const& all,
           core::duration latency_objective,
           core::duration gap_objective ) -> int
{
    auto count = 0;
    for ( auto const& r : all )
        count += !r->complete || *r->first_event > latency_objective ||
                         r->longest_gap > gap_objective
                     ? 1
                     : 0;
    return count;
}

auto late_shorts( play const& p ) -> int
{
    return late( p.shorts, 300ms, 200ms );
}

auto late_longs( play const& p ) -> int
{
    return late( p.longs, 3s, 800ms );
}

}

TEST_CASE( "trial of rates", "[.trial]" )
{
    for ( auto const rate : { 60.0, 80.0, 100.0, 120.0, 140.0, 160.0 } )
        for ( auto const longs : { 0.0, 1.0, 2.0, 4.0 } )
            for ( auto const how : { placing::packed, placing::spread } )
            {
                auto s = 0, n = 0, l = 0, m = 0, f = 0;
                for ( auto seed = 1U; seed <= 3; ++seed )
                {
                    auto p = play( how, seed );
                    p.send( p.shorts, "chat", 5'000, rate, 0s, 20s );
                    if ( longs > 0 )
                        p.send( p.longs, "audit", 100'000, longs, 0s, 20s );
                    p.load.run( 50s );
                    s += late_shorts( p );
                    f += late( p.shorts, 300ms, 200s );
                    n += static_cast<int>( p.shorts.size() );
                    l += late_longs( p );
                    m += static_cast<int>( p.longs.size() );
                }
                std::cout << rate << " short/s " << longs << " long/s "
                          << ( how == placing::packed ? "packed" : "spread" )
                          << ": short late " << f << ' ' << s << '/' << n
                          << ", long late " << l << '/' << m << std::endl;
            }
}
TEST_CASE( "trial of waves", "[.trial]" )
{
    for ( auto const longs : { 1.0, 2.0, 4.0, 6.0 } )
        for ( auto const rate : { 60.0, 100.0 } )
            for ( auto const how : { placing::packed, placing::spread } )
            {
                auto s = 0, n = 0, l = 0, m = 0, f = 0;
                for ( auto seed = 1U; seed <= 3; ++seed )
                {
                    auto p = play( how, seed );
                    for ( auto t = core::duration( 0 ); t < 24s; t += 8s )
                    {
                        p.send( p.shorts, "chat", 5'000, rate, t, t + 4s );
                        p.send( p.shorts, "chat", 5'000, rate / 4, t + 4s,
                                t + 8s );
                        p.send( p.longs, "audit", 100'000, longs / 4, t,
                                t + 4s );
                        p.send( p.longs, "audit", 100'000, longs, t + 4s,
                                t + 8s );
                    }
                    p.load.run( 50s );
                    s += late_shorts( p );
                    f += late( p.shorts, 300ms, 200s );
                    n += static_cast<int>( p.shorts.size() );
                    l += late_longs( p );
                    m += static_cast<int>( p.longs.size() );
                }
                std::cout << "waves " << rate << " short/s " << longs
                          << " long/s "
                          << ( how == placing::packed ? "packed" : "spread" )
                          << ": short late " << f << ' ' << s << '/' << n
                          << ", long late " << l << '/' << m << std::endl;
            }
}
