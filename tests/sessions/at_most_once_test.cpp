#include "support/plain_instance.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

using namespace std::chrono_literals;
using namespace tests;
using ports::answer_status;

namespace
{

constexpr auto instance_count = 3;

/// What became of one service call on its way.
enum class path
{
    fine,
    answer_lost,   ///< it ran, and nobody hears of it
    not_delivered, ///< the connection was refused
};

/// Three instances that forward to each other, before a service that counts.
class ticket_fleet
{
public:
    explicit ticket_fleet( std::uint64_t seed ) : random_( seed )
    {
        for ( auto i = 0; i < instance_count; ++i )
            start( i );
        tell_all();
    }

    /// Has every instance hear of all others as they are now.
    auto tell_all() -> void
    {
        for ( auto const& each : instances_ )
        {
            for ( auto const& other : instances_ )
                each->members.merge( other->members.self(), each->time.now() );
        }
    }

    /// Ends an instance and starts it anew, with nothing remembered. The
    /// others do not know it yet.
    auto restart( int number ) -> void
    {
        start( number );
    }

    auto ticket( int number, std::string const& key ) -> std::string
    {
        return at( number ).ticket( key );
    }

    /// Sends the call at an instance and returns what the caller was told.
    auto send( int number, std::string const& ticket ) -> answer_status
    {
        auto& one = at( number );
        one.outcomes.clear();
        forgive_targets();
        plan_reply();
        one.call( "once", ticket );
        REQUIRE( one.outcomes.size() == 1 );
        return one.outcomes.front().status;
    }

    [[nodiscard]] auto runs( std::string const& key ) const -> int
    {
        auto const known = runs_.find( key );
        return known == runs_.end() ? 0 : known->second;
    }

    auto draw( int below ) -> int
    {
        return static_cast<int>( random_() %
                                 static_cast<std::uint64_t>( below ) );
    }

private:
    auto at( int number ) -> plain_instance&
    {
        return *instances_[static_cast<std::size_t>( number )];
    }

    auto start( int number ) -> void
    {
        ++incarnation_;
        auto& one = instances_[static_cast<std::size_t>( number )];
        one = std::make_unique<plain_instance>( "i" + std::to_string( number ),
                                                incarnation_ );
        one->services.on_call = [this]( ports::service_call const& call )
        {
            return serve( call.key.str() );
        };
        one->peers.on_call = [this]( core::address const& peer,
                                     ports::forwarded_call const& what )
        {
            return forward( peer.port - 1, what );
        };
    }

    /// As `target_watch` does after a while.
    auto forgive_targets() -> void
    {
        for ( auto const& each : instances_ )
        {
            for ( auto const& target : each->targets.all() )
                target->set_phase( routing::target_phase::alive,
                                   each->time.now() );
        }
    }

    auto plan_reply() -> void
    {
        auto const drawn = draw( 30 );
        path_ = drawn == 0   ? path::answer_lost
                : drawn == 1 ? path::not_delivered
                             : path::fine;
    }

    auto serve( std::string const& key ) -> core::result<ports::service_reply>
    {
        if ( path_ == path::not_delivered )
            return core::error{ core::error_code::unreachable, "refused" };
        ++runs_[key];
        if ( path_ == path::answer_lost )
            return core::error{ core::error_code::connection_lost, "reset" };
        return ports::service_reply{ 200, "text/plain", "done" };
    }

    auto forward( int number, ports::forwarded_call const& what )
        -> core::result<state::call_outcome>
    {
        // One forward in twenty is answered into the void.
        auto const is_lost = draw( 20 ) == 0;
        auto wanted = sessions::plain_call{};
        wanted.service = what.service;
        wanted.profile = what.profile;
        wanted.workspace = what.workspace;
        wanted.ticket = what.ticket;
        wanted.call = what.call;
        auto told = state::call_outcome{};
        at( number ).gateway.call_here( wanted,
                                        [&]( state::call_outcome const& o )
                                        {
                                            told = o;
                                        } );
        if ( is_lost )
            return core::error{ core::error_code::timed_out, "no answer" };
        return told;
    }

    std::mt19937_64 random_;
    std::array<std::unique_ptr<plain_instance>, instance_count> instances_;
    std::map<std::string, int> runs_;
    std::int64_t incarnation_{ 0 };
    path path_{ path::fine };
};

}

TEST_CASE( "of 100,000 non-idempotent calls none runs twice, and no caller is "
           "told a wrong not-run",
           "[tickets]" )
{
    constexpr auto calls = 100'000;
    auto fleet = ticket_fleet( 1 );
    auto doubled = 0;
    auto wrong_not_run = 0;
    auto wrong_complete = 0;
    auto complete = 0;
    for ( auto i = 0; i < calls; ++i )
    {
        fleet.tell_all();
        auto const key = "k" + std::to_string( i );
        auto const owner = fleet.draw( instance_count );
        auto const ticket = fleet.ticket( owner, key );
        auto told = std::vector<answer_status>{};
        told.push_back( fleet.send( owner, ticket ) );
        // In every tenth call the caller asks again, at any instance, and in
        // some of them the owner has died in between.
        if ( i % 10 == 0 )
        {
            if ( fleet.draw( 4 ) == 0 )
                fleet.restart( owner );
            for ( auto again = 0; again < 3; ++again )
                told.push_back(
                    fleet.send( fleet.draw( instance_count ), ticket ) );
        }
        auto const runs = fleet.runs( key );
        auto const has = [&]( answer_status status )
        {
            return std::count( told.begin(), told.end(), status ) > 0;
        };
        doubled += runs > 1 ? 1 : 0;
        complete += has( answer_status::complete ) ? 1 : 0;
        wrong_complete += has( answer_status::complete ) && runs == 0 ? 1 : 0;
        // A last word of "not run" is true at that moment.
        wrong_not_run +=
            told.back() == answer_status::not_run && runs > 0 ? 1 : 0;
    }
    CHECK( doubled == 0 );
    CHECK( wrong_complete == 0 );
    CHECK( wrong_not_run == 0 );
    CHECK( complete > calls * 9 / 10 );
}
