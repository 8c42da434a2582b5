#include "support/held_scheduler.hpp"
#include <pollenstream/peers/record_fetch.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace tests;
using namespace std::chrono_literals;
namespace core = pollenstream::core;
namespace peers = pollenstream::peers;

namespace
{

/// An instance that is behind, with the others that know a newer state.
struct behind
{
    auto run_for( core::duration time ) -> void
    {
        auto const end = scheduler.now() + time;
        while ( scheduler.now() < end )
        {
            fetch.update( is_urgent );
            scheduler.run( 20ms );
        }
    }
    auto choose( peers::record_fetch::instance_set const& except )
        -> std::optional<core::instance_id>
    {
        for ( auto const* name : { "a", "b", "c", "d" } )
            if ( informed.contains( name ) &&
                 !except.contains( core::instance_id( name ) ) )
                return core::instance_id( name );
        return std::nullopt;
    }

    held_scheduler scheduler;
    std::set<std::string> informed{ "a", "b", "c", "d" };
    bool is_urgent{ false };
    std::vector<std::string> asked;
    std::vector<std::function<void()>> ends;
    peers::record_fetch fetch{ scheduler,
                               [this]( auto const& except )
                               {
                                   return choose( except );
                               },
                               [this]( auto const& from, auto ended )
                               {
                                   asked.push_back( from.str() );
                                   ends.push_back( std::move( ended ) );
                               } };
};

using names = std::vector<std::string>;

}

TEST_CASE( "an instance that is behind fetches what datagrams do not bring",
           "[peers][fetch]" )
{
    auto one = behind{};
    SECTION( "after a moment" )
    {
        one.run_for( 80ms );
        CHECK( one.asked.empty() );
        one.run_for( 60ms );
        CHECK( one.asked == names{ "a" } );
    }
    SECTION( "at once if nothing works without" )
    {
        one.is_urgent = true;
        one.run_for( 20ms );
        CHECK( one.asked == names{ "a" } );
    }
    SECTION( "unless no other knows more" )
    {
        one.informed.clear();
        one.run_for( 1s );
        CHECK( one.asked.empty() );
    }
}

TEST_CASE( "a frozen instance does not hold up those that fetch from it",
           "[peers][fetch]" )
{
    auto one = behind{};
    one.run_for( 900ms );
    CHECK( one.asked == names{ "a", "b" } );
    SECTION( "also if the second is frozen too" )
    {
        one.run_for( 500ms );
        CHECK( one.asked == names{ "a", "b", "c" } );
        // No more than three at the same time.
        one.run_for( 2s );
        CHECK( one.asked.size() == 3 );
    }
    SECTION( "and is not asked again while it has not answered" )
    {
        one.ends.at( 1 )();
        one.run_for( 100ms );
        CHECK( one.asked == names{ "a", "b", "b" } );
    }
}
