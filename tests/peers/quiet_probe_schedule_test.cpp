#include <pollenstream/peers/quiet_probe_schedule.hpp>

#include <catch2/catch.hpp>

namespace core = pollenstream::core;
namespace peers = pollenstream::peers;

using namespace std::chrono_literals;

namespace
{

constexpr auto check_period = core::duration( 50ms );

struct quiet_instance
{
    /// Probes within `time` without an answer of any target.
    auto probes_in( core::duration time ) -> int
    {
        auto count = 0;
        for ( auto const end = now + time; now < end; now += check_period )
            if ( schedule.is_due( now, last_answer, all, random ) )
                ++count;
        return count;
    }

    peers::probe_population all;
    peers::quiet_probe_schedule schedule{};
    std::minstd_rand random{ 7 };
    core::instant now{ 100s };
    core::instant last_answer{};
};

}

TEST_CASE( "a quiet instance probes about once a second in fleets of up to "
           "four instances a target",
           "[peers][path][probe]" )
{
    auto const all = GENERATE(
        peers::probe_population{ 1, 3 }, peers::probe_population{ 7, 18 },
        peers::probe_population{ 63, 27 }, peers::probe_population{ 300, 75 } );
    auto f = quiet_instance{ all };
    auto const count = f.probes_in( 60s );
    CHECK( count >= 55 );
    CHECK( count <= 85 );
}

TEST_CASE( "all quiet instances together open a bounded number of connections "
           "to each target",
           "[peers][path][probe]" )
{
    auto const instances = GENERATE( 63, 300, 984 );
    auto const targets = std::size_t{ 12 };
    auto f =
        quiet_instance{ { static_cast<std::size_t>( instances ), targets } };
    auto const a_second_and_target = f.probes_in( 600s ) / 600.0 * instances /
                                     static_cast<double>( targets );
    CHECK( a_second_and_target <= 6 );
}

TEST_CASE( "an instance with answers does not probe, nor one without targets",
           "[peers][path][probe]" )
{
    auto f = quiet_instance{ { 7, 18 } };
    SECTION( "answers" )
    {
        f.last_answer = f.now + 60s;
        CHECK( f.probes_in( 60s ) == 0 );
    }
    SECTION( "no targets" )
    {
        f.all.targets = 0;
        CHECK( f.probes_in( 60s ) == 0 );
    }
}

TEST_CASE( "the cut of another instance brings the next probe forward",
           "[peers][path][probe]" )
{
    auto f = quiet_instance{ { 300, 12 } };
    f.probes_in( 60s );
    while ( !f.schedule.is_due( f.now, f.last_answer, f.all, f.random ) )
        f.now += check_period;
    f.schedule.hasten( f.now, f.all, f.random );
    auto const spread = peers::quiet_probe_schedule::period( f.all ) / 4;
    CHECK( f.probes_in( spread + check_period ) == 1 );
}
