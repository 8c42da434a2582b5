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

/// Records what is sent, so that a test can answer it.
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
        return coordinator_ids;
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

    std::vector<core::instance_id> coordinator_ids;
    std::vector<sent_request> placement_requests;
    std::vector<peers::placement_answer> answers;
    std::vector<std::pair<std::string, std::uint64_t>> released;
};

struct router_fixture : exchange_fixture
{
    router_fixture()
    {
        for ( auto const* id : { "c1", "c2", "c3" } )
            transport.coordinator_ids.emplace_back( id );
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
        return tested_router.request( std::move( what ), listener );
    }
    /// `from` answers the placement request `serial`.
    auto answer( std::string const& from,
                 std::uint64_t serial,
                 peers::placement_decision decision ) -> void
    {
        auto reply = peers::placement_answer{};
        reply.serial = serial;
        reply.decision = decision;
        if ( decision == peers::placement_decision::granted )
            reply.parts.push_back( { core::target_id( "m1" ), 20, 6'000 } );
        tested_router.on_answer( core::instance_id( from ), reply );
    }
    auto last_coordinator() const -> std::string
    {
        return transport.placement_requests.empty()
                   ? ""
                   : transport.placement_requests.back().to.str();
    }
    auto last_sent_serial() const -> std::uint64_t
    {
        return transport.placement_requests.back().request.serial;
    }

    recorded_transport transport;
    std::uint64_t last_serial{ 0 };
    peers::placement_router tested_router{ core::instance_id( "self" ),
                                           scheduler,
                                           transport,
                                           coordinator,
                                           loads,
                                           [this]
                                           {
                                               return ++last_serial;
                                           } };
    std::shared_ptr<recorded_placement> listener{
        std::make_shared<recorded_placement>() };
};

}

TEST_CASE( "the first coordinator gets the request, and its grant is taken",
           "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    REQUIRE( f.last_coordinator() == "c1" );
    f.answer( "c1", 1, peers::placement_decision::granted );
    REQUIRE( f.listener->grants.size() == 1 );
    CHECK( f.listener->grants[0].decided_by == core::instance_id( "c1" ) );
    CHECK( f.listener->grants[0].choice.targets[0]->properties.id ==
           core::target_id( "m1" ) );
    SECTION( "a duplicate of the grant is ignored and not given back" )
    {
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.listener->grants.size() == 1 );
        CHECK( f.transport.released.empty() );
    }
    SECTION( "a duplicate after the work has ended is given back" )
    {
        f.tested_router.release( 1 );
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.listener->grants.size() == 1 );
        CHECK( f.transport.released.size() == 1 );
    }
}

TEST_CASE( "a coordinator that does not answer is given up for the next one",
           "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.scheduler.run( 70ms );
    CHECK( f.last_coordinator() == "c2" );
    CHECK( f.transport.released ==
           std::vector<std::pair<std::string, std::uint64_t>>{ { "c1", 1 } } );
    CHECK( f.last_sent_serial() != 1 );
    // The second request counts the time that the first one took.
    CHECK( f.transport.placement_requests.back().request.demand.waited >=
           60ms );
    SECTION( "a late grant of the first coordinator is given back" )
    {
        f.answer( "c1", 1, peers::placement_decision::granted );
        CHECK( f.listener->grants.empty() );
        CHECK( f.transport.released.size() == 2 );
        f.answer( "c2", f.last_sent_serial(),
                  peers::placement_decision::granted );
        CHECK( f.listener->grants.size() == 1 );
    }
    SECTION(
        "this instance places the prompt itself if no coordinator answers" )
    {
        f.scheduler.run( 130ms );
        REQUIRE( f.listener->grants.size() == 1 );
        CHECK( f.listener->grants[0].decided_by ==
               core::instance_id( "self" ) );
        CHECK( f.tested_router.counters().uncoordinated_choices.value() == 1 );
    }
}

TEST_CASE( "a coordinator that times out twice in a row is skipped",
           "[router]" )
{
    auto f = router_fixture{};
    auto const first = f.request();
    f.scheduler.run( 70ms );
    auto const second = f.request();
    CHECK( f.last_coordinator() == "c1" );
    f.scheduler.run( 70ms );
    auto const third = f.request();
    CHECK( f.last_coordinator() == "c2" );
    SECTION( "until it answers a request" )
    {
        f.answer( "c1", 99, peers::placement_decision::queued );
        auto const fourth = f.request();
        CHECK( f.last_coordinator() == "c1" );
    }
    SECTION( "until the skip time is over" )
    {
        f.scheduler.run( 2s );
        auto const fourth = f.request();
        CHECK( f.last_coordinator() == "c1" );
    }
}

TEST_CASE(
    "a queued request is sent again, and moves if its coordinator is lost",
    "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.answer( "c1", 1, peers::placement_decision::queued );
    CHECK( f.listener->queued == 1 );
    f.scheduler.run( 240ms );
    CHECK( f.transport.placement_requests.size() == 1 );
    SECTION( "to the same coordinator first" )
    {
        f.scheduler.run( 20ms );
        REQUIRE( f.transport.placement_requests.size() == 2 );
        CHECK( f.last_coordinator() == "c1" );
        CHECK( f.last_sent_serial() == 1 );
    }
    SECTION( "to the next coordinator if the first one stops answering" )
    {
        f.scheduler.run( 100ms );
        CHECK( f.last_coordinator() == "c2" );
    }
    SECTION(
        "to the next coordinator at once if the first one is known to be lost" )
    {
        f.transport.coordinator_ids.erase(
            f.transport.coordinator_ids.begin() );
        f.tested_router.on_lost( core::instance_id( "c1" ) );
        CHECK( f.last_coordinator() == "c2" );
    }
}

TEST_CASE( "a withdrawn request is released at its coordinator", "[router]" )
{
    auto f = router_fixture{};
    auto open = f.request();
    CHECK( f.tested_router.undecided() == std::vector<std::uint64_t>{ 1 } );
    open.reset();
    CHECK( f.tested_router.undecided().empty() );
    CHECK( f.transport.released.size() == 1 );
    f.scheduler.run( 1s );
    CHECK( f.transport.placement_requests.size() == 1 );
    f.answer( "c1", 1, peers::placement_decision::granted );
    CHECK( f.listener->grants.empty() );
    CHECK( f.transport.released.size() == 2 );
}

TEST_CASE( "a coordinator that is not ready is given up at once", "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    f.answer( "c1", 1, peers::placement_decision::not_ready );
    CHECK( f.last_coordinator() == "c2" );
    SECTION(
        "an instance without a configuration answers that it is not ready" )
    {
        f.coordinator.set_configuration( nullptr );
        auto request = f.transport.placement_requests[0].request;
        request.requester = core::instance_id( "other" );
        f.tested_router.on_request( request );
        REQUIRE( f.transport.answers.size() == 1 );
        CHECK( f.transport.answers[0].decision ==
               peers::placement_decision::not_ready );
    }
}

TEST_CASE( "placement requests of other instances are decided and answered",
           "[router]" )
{
    auto f = router_fixture{};
    auto const open = f.request();
    auto request = f.transport.placement_requests[0].request;
    request.requester = core::instance_id( "other" );
    f.tested_router.on_request( request );
    REQUIRE( f.transport.answers.size() == 1 );
    CHECK( f.transport.answers[0].decision ==
           peers::placement_decision::granted );
    CHECK( f.loads.works_of( core::instance_id( "other" ), f.scheduler.now() )
               .size() == 1 );
    f.tested_router.on_released( core::instance_id( "other" ), 1 );
    CHECK( f.loads.works_of( core::instance_id( "other" ), f.scheduler.now() )
               .empty() );
}

TEST_CASE( "overloaded coordinators get no more requests for a time",
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
    // All three have timed out: this instance places prompts itself, at once.
    for ( auto i = 0; i < 50; ++i )
    {
        auto const before = f.listener->grants.size();
        open.push_back( f.request() );
        CHECK( f.listener->grants.size() + f.listener->queued > before );
        f.scheduler.run( 10ms );
    }
    CHECK( f.transport.placement_requests.size() == sent );
    // After the skip time they get requests again.
    f.scheduler.run( 1s );
    open.push_back( f.request() );
    CHECK( f.transport.placement_requests.size() == sent + 1 );
}
