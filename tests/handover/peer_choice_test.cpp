#include <pollenstream/handover/peer_choice.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace core = pollenstream::core;
namespace handover = pollenstream::handover;

namespace
{

constexpr auto draws = 1'000;

auto near_one( std::string const& id, std::size_t open = 0 )
    -> handover::candidate
{
    return { core::instance_id( id ), true, open };
}

auto far_one( std::string const& id, std::size_t open = 0 )
    -> handover::candidate
{
    return { core::instance_id( id ), false, open };
}

auto count_choices( std::vector<handover::candidate> const& all )
    -> std::map<std::string, int>
{
    auto random = std::minstd_rand( 1 );
    auto counts = std::map<std::string, int>{};
    for ( auto i = 0; i < draws; ++i )
        if ( auto const chosen = handover::choose_peer( all, random ) )
            ++counts[chosen->str()];
    return counts;
}

}

TEST_CASE( "a request is handed over within the data centre if that is "
           "possible",
           "[handover][choice]" )
{
    auto const counts =
        count_choices( { far_one( "far" ), near_one( "a" ), near_one( "b" ) } );
    CHECK( counts.count( "far" ) == 0 );
    CHECK( counts.at( "a" ) > draws / 3 );
    CHECK( counts.at( "b" ) > draws / 3 );
}

TEST_CASE( "an instance with many requests of this one gets no further one",
           "[handover][choice]" )
{
    constexpr auto most = handover::max_open_at_peer;
    SECTION( "another data centre takes them" )
    {
        auto const counts =
            count_choices( { near_one( "a", most ), far_one( "far" ) } );
        CHECK( counts.at( "far" ) == draws );
    }
    SECTION( "nobody takes them" )
    {
        CHECK( count_choices( { near_one( "a", most ), far_one( "b", most ) } )
                   .empty() );
    }
    SECTION( "there is nobody" )
    {
        CHECK( count_choices( {} ).empty() );
    }
}

TEST_CASE( "of two instances the one with fewer requests gets more",
           "[handover][choice]" )
{
    auto const counts =
        count_choices( { near_one( "busy", 9 ), near_one( "idle", 1 ) } );
    CHECK( counts.at( "idle" ) > 2 * counts.at( "busy" ) );
}
