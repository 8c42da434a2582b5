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

/// What happens to a service call on its way to the target.
enum class delivery
{
    normal,
    answer_lost,   ///< the call ran, its reply is lost
    not_delivered, ///< the connection is refused
};

/// Three instances that forward calls to each other, and a service that counts
/// the runs of each key.
class ticket_fleet
{
public:
    explicit ticket_fleet( std::uint64_t seed ) : random_( seed )
    {
        for ( auto i = 0; i < instance_count; ++i )
            start( i );
        exchange_membership();
    }

    /// Updates the membership of every instance with the current state of all.
    auto exchange_membership() -> void
    {
        for ( auto const& each : instances_ )
        {
            for ( auto const& peer : instances_ )
                each->members.merge( peer->members.self(), each->time.now() );
        }
    }

    /// Restarts an instance without its previous state. The other instances
    /// learn of the new incarnation only by `exchange_membership`.
    auto restart( int number ) -> void
    {
        start( number );
    }

    auto ticket( int number, std::string const& key ) -> std::string
    {
        return instance_at( number ).ticket( key );
    }

    /// Sends a call to an instance and returns the status that the caller gets.
    auto send( int number, std::string const& ticket ) -> answer_status
    {
        auto& instance = instance_at( number );
        instance.outcomes.clear();
        revive_targets();
        draw_delivery();
        instance.call( "once", ticket );
        REQUIRE( instance.outcomes.size() == 1 );
        return instance.outcomes.front().status;
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
    auto instance_at( int number ) -> plain_instance&
    {
        return *instances_[static_cast<std::size_t>( number )];
    }

    auto start( int number ) -> void
    {
        ++incarnation_;
        auto& instance = instances_[static_cast<std::size_t>( number )];
        instance = std::make_unique<plain_instance>(
            "i" + std::to_string( number ), incarnation_ );
        instance->services.on_call = [this]( ports::service_call const& call )
        {
            return serve( call.key.str() );
        };
        instance->peers.on_call = [this]( core::address const& address,
                                          ports::forwarded_call const& message )
        {
            return forward( address.port - 1, message );
        };
    }

    /// Marks all targets as alive, as `target_watch` does after a while.
    auto revive_targets() -> void
    {
        for ( auto const& each : instances_ )
        {
            for ( auto const& target : each->targets.all() )
                target->set_phase( routing::target_phase::alive,
                                   each->time.now() );
        }
    }

    auto draw_delivery() -> void
    {
        auto const drawn = draw( 30 );
        delivery_ = drawn == 0   ? delivery::answer_lost
                    : drawn == 1 ? delivery::not_delivered
                                 : delivery::normal;
    }

    auto serve( std::string const& key ) -> core::result<ports::service_reply>
    {
        if ( delivery_ == delivery::not_delivered )
            return core::error{ core::error_code::unreachable, "refused" };
        ++runs_[key];
        if ( delivery_ == delivery::answer_lost )
            return core::error{ core::error_code::connection_lost, "reset" };
        return ports::service_reply{ 200, "text/plain", "done" };
    }

    auto forward( int number, ports::forwarded_call const& message )
        -> core::result<state::call_outcome>
    {
        // The reply to one forwarded call in twenty is lost.
        auto const is_lost = draw( 20 ) == 0;
        auto call = sessions::plain_call{};
        call.service = message.service;
        call.profile = message.profile;
        call.workspace = message.workspace;
        call.ticket = message.ticket;
        call.call = message.call;
        auto outcome = state::call_outcome{};
        instance_at( number ).gateway.call_locally(
            call,
            [&]( state::call_outcome const& o )
            {
                outcome = o;
            } );
        if ( is_lost )
            return core::error{ core::error_code::timed_out, "no answer" };
        return outcome;
    }

    std::mt19937_64 random_;
    std::array<std::unique_ptr<plain_instance>, instance_count> instances_;
    std::map<std::string, int> runs_;
    std::int64_t incarnation_{ 0 };
    delivery delivery_{ delivery::normal };
};

}

TEST_CASE( "none of 100,000 non-idempotent calls runs twice, and no caller "
           "gets a wrong not-run status",
           "[tickets]" )
{
    constexpr auto calls = 100'000;
    auto fleet = ticket_fleet( 1 );
    auto repeated = 0;
    auto wrong_not_run = 0;
    auto wrong_complete = 0;
    auto complete = 0;
    for ( auto i = 0; i < calls; ++i )
    {
        fleet.exchange_membership();
        auto const key = "k" + std::to_string( i );
        auto const owner = fleet.draw( instance_count );
        auto const ticket = fleet.ticket( owner, key );
        auto statuses = std::vector<answer_status>{};
        statuses.push_back( fleet.send( owner, ticket ) );
        // The caller retries every tenth call at random instances; in a
        // quarter of these cases the ticket's owner restarts first.
        if ( i % 10 == 0 )
        {
            if ( fleet.draw( 4 ) == 0 )
                fleet.restart( owner );
            for ( auto retry = 0; retry < 3; ++retry )
                statuses.push_back(
                    fleet.send( fleet.draw( instance_count ), ticket ) );
        }
        auto const runs = fleet.runs( key );
        auto const has = [&]( answer_status status )
        {
            return std::count( statuses.begin(), statuses.end(), status ) > 0;
        };
        repeated += runs > 1 ? 1 : 0;
        complete += has( answer_status::complete ) ? 1 : 0;
        wrong_complete += has( answer_status::complete ) && runs == 0 ? 1 : 0;
        // The latest `not_run` status must hold at the time it is returned.
        wrong_not_run +=
            statuses.back() == answer_status::not_run && runs > 0 ? 1 : 0;
    }
    CHECK( repeated == 0 );
    CHECK( wrong_complete == 0 );
    CHECK( wrong_not_run == 0 );
    CHECK( complete > calls * 9 / 10 );
}
