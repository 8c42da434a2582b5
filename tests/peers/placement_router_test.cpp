#include "support/exchange_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace tests;
using namespace std::chrono_literals;

namespace
{

/// Keeps what is sent; a test answers.
class recorded_transport : public peers::placement_transport
{
public:
    struct sent_request
    {
        core::instance_id to;
        exchange::placement_request request;
    };

    [[nodiscard]] auto coordinators() const
        -> std::vector<core::instance_id> override
    {
        return order;
    }
    auto send_request( core::instance_id const& to,
                       exchange::placement_request const& request )
        -> void override
    {
        placement_requests.push_back( { to, request } );
    }
    auto send_answer( core::instance_id const&,
                      peers::placement_answer const& answer ) -> void override
    {
        answers.push_back( answer );
    }
    auto send_release( core::instance_id const& to, std::uint64_t serial )
        -> void override
    {
        released.emplace_back( to.str(), serial );
    }

    std::vector<core::instance_id> order;
    std::vector<sent_request> placement_requests;
    std::vector<peers::placement_answer> answers;
    std::vector<std::pair<std::string, std::uint64_t>> released;
};

struct router_fixture : exchange_fixture
{
    router_fixture()
    {
        for ( auto const* id : { "c1", "c2", "c3" } )
            transport.order.emplace_back( id );
    }
    auto request() -> std::unique_ptr<exchange::open_placement>
    {
        auto what = exchange::placement_request{};
        what.requester = core::instance_id( "self" );
        what.serial = ++last_serial;
        what.demand.service = core::service_id( "model" );
        what.demand.prompt_tokens = 5'000;
        what.demand.output_tokens = 1'000;
        what.demand.latency_objective = 300ms;
        what.demand.gap_objective = 200ms;
        what.demand.min_gap_objective = 200ms;
        what.demand.time_left = 10s;
        what.demand.patience_left = 2s;
        return requester.request( std::move( what ), heard );
    }
    /// `from` answers the ask `serial`.
    auto answer( std::string const& from,
                 std::uint64_t serial,
                 peers::placement_decision decision ) -> void
    {
        auto said = peers::placement_answer{};
        said.serial = serial;
        said.decision = decision;
        if ( decision == peers::placement_decision::granted )
            said.parts.push_back( { core::target_id( "m1" ), 20, 6'000 } );
        requester.on_answer( core::instance_id( from ), said );
    }
    auto asked_last() const -> std::string
    {
        return transport.placement_requests.empty()
                   ? ""
                   : transport.placement_requests.back().to.str();
    }
    auto serial_last() const -> std::uint64_t
    {
        return transport.placement_requests.back().request.serial;
    }

    recorded_transport transport;
    std::uint64_t last_serial{ 0 };
    peers::placement_router requester{ core::instance_id( "self" ),
                                       scheduler,
                                       transport,
                                       coordinator,
                                       loads,
                                       [this]
                                       {
                                           return ++last_serial;
                                       } };
    std::shared_ptr<recorded_placement> heard{
        std::make_shared<recorded_placement>() };
};

}

TEST_CASE( "the first coordinator is asked, and its grant is taken",
           "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    REQUIRE( f.asked_last() == "c1" );
    f.answer( "c1", 1, peers::placement_decision::granted );
    REQUIRE( f.heard->grants.size() == 1 );
    CHECK( f.heard->grants[0].decided_by == core::instance_id( "c1" ) );
    CHECK( f.heard->grants[0].choice.targets[0]->properties.id ==
           core::target_id( "m1" ) );
    SECTION( "once, and one that comes twice is not given back" )
    {
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.heard->grants.size() == 1 );
        CHECK( f.transport.released.empty() );
    }
    SECTION( "after its work has ended it is" )
    {
        f.requester.release( 1 );
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.heard->grants.size() == 1 );
        CHECK( f.transport.released.size() == 1 );
    }
}

TEST_CASE( "one that does not answer is given up for the next", "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.scheduler.run( 70ms );
    CHECK( f.asked_last() == "c2" );
    CHECK( f.transport.released ==
           std::vector<std::pair<std::string, std::uint64_t>>{ { "c1", 1 } } );
    CHECK( f.serial_last() != 1 );
    // What has passed meanwhile is taken off.
    CHECK( f.transport.placement_requests.back().request.demand.waited >=
           60ms );
    SECTION( "and what it grants late is given back" )
    {
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.heard->grants.empty() );
        CHECK( f.transport.released.size() == 2 );
        f.answer( "c2", f.serial_last(), peers::placement_decision::granted );
        CHECK( f.heard->grants.size() == 1 );
    }
    SECTION( "where none answers, this instance places by itself" )
    {
        f.scheduler.run( 130ms );
        REQUIRE( f.heard->grants.size() == 1 );
        CHECK( f.heard->grants[0].decided_by == core::instance_id( "self" ) );
        CHECK( f.requester.counters().own_choice.value() == 1 );
    }
}

TEST_CASE( "one that is silent again and again is not asked", "[router]" )
{
    auto f = router_fixture{};
    auto const first = f.request();
    f.scheduler.run( 70ms );
    auto const second = f.request();
    CHECK( f.asked_last() == "c1" );
    f.scheduler.run( 70ms );
    auto const third = f.request();
    CHECK( f.asked_last() == "c2" );
    SECTION( "until it answers" )
    {
        f.answer( "c1", 99, peers::placement_decision::queued );
        auto const fourth = f.request();
        CHECK( f.asked_last() == "c1" );
    }
    SECTION( "for a time" )
    {
        f.scheduler.run( 2s );
        auto const fourth = f.request();
        CHECK( f.asked_last() == "c1" );
    }
}

TEST_CASE( "an ask that waits is repeated, and moves where its place is lost",
           "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.answer( "c1", 1, peers::placement_decision::queued );
    CHECK( f.heard->queued == 1 );
    f.scheduler.run( 240ms );
    CHECK( f.transport.placement_requests.size() == 1 );
    SECTION( "to the same while that answers" )
    {
        f.scheduler.run( 20ms );
        REQUIRE( f.transport.placement_requests.size() == 2 );
        CHECK( f.asked_last() == "c1" );
        CHECK( f.serial_last() == 1 );
    }
    SECTION( "to the next where that has stopped answering" )
    {
        f.scheduler.run( 100ms );
        CHECK( f.asked_last() == "c2" );
    }
    SECTION( "at once where that is known to be lost" )
    {
        f.transport.order.erase( f.transport.order.begin() );
        f.requester.on_lost( core::instance_id( "c1" ) );
        CHECK( f.asked_last() == "c2" );
    }
}

TEST_CASE( "an ask that is withdrawn is released where it waits", "[router]" )
{
    auto f = router_fixture{};
    auto open = f.request();
    CHECK( f.requester.undecided() == std::vector<std::uint64_t>{ 1 } );
    open.reset();
    CHECK( f.requester.undecided().empty() );
    CHECK( f.transport.released.size() == 1 );
    f.scheduler.run( 1s );
    CHECK( f.transport.placement_requests.size() == 1 );
    f.answer( "c1", 1, peers::placement_decision::granted );
    CHECK( f.heard->grants.empty() );
    CHECK( f.transport.released.size() == 2 );
}

TEST_CASE( "one that cannot place yet is passed over at once", "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.answer( "c1", 1, peers::placement_decision::not_ready );
    CHECK( f.asked_last() == "c2" );
    SECTION( "as this instance says of itself without a configuration" )
    {
        f.coordinator.set_configuration( nullptr );
        auto request = f.transport.placement_requests[0].request;
        request.requester = core::instance_id( "other" );
        f.requester.on_request( request );
        REQUIRE( f.transport.answers.size() == 1 );
        CHECK( f.transport.answers[0].decision ==
               peers::placement_decision::not_ready );
    }
}

TEST_CASE( "asks of others are decided here and answered", "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    auto request = f.transport.placement_requests[0].request;
    request.requester = core::instance_id( "other" );
    f.requester.on_request( request );
    REQUIRE( f.transport.answers.size() == 1 );
    CHECK( f.transport.answers[0].decision ==
           peers::placement_decision::granted );
    CHECK( f.loads.works_of( core::instance_id( "other" ), f.scheduler.now() )
               .size() == 1 );
    f.requester.on_released( core::instance_id( "other" ), 1 );
    CHECK( f.loads.works_of( core::instance_id( "other" ), f.scheduler.now() )
               .empty() );
}

TEST_CASE( "coordinators that have more to answer than they can are left alone",
           "[router][load]" )
{
    auto f = router_fixture{};
    auto open = std::vector<std::unique_ptr<exchange::open_placement>>{};
    for ( auto i = 0; i < 2; ++i )
    {
        open.push_back( f.request() );
        f.scheduler.run( 200ms );
    }
    auto const sent = f.transport.placement_requests.size();
    CHECK( sent == 6 );
    // All three are silent: prompts are placed here, at once.
    for ( auto i = 0; i < 50; ++i )
    {
        auto const before = f.heard->grants.size();
        open.push_back( f.request() );
        CHECK( f.heard->grants.size() + f.heard->queued > before );
        f.scheduler.run( 10ms );
    }
    CHECK( f.transport.placement_requests.size() == sent );
    // After a time they are tried again.
    f.scheduler.run( 1s );
    open.push_back( f.request() );
    CHECK( f.transport.placement_requests.size() == sent + 1 );
}
