#include "support/exchange_fixture.hpp"
#include <pollenstream/exchange/event_splitter.hpp>

#include <catch2/catch.hpp>

using namespace tests;
using namespace std::chrono_literals;

TEST_CASE( "events are extracted whole wherever the bytes are split",
           "[events]" )
{
    auto const text = std::string( "id: 1\ndata: a\n\nweight: 2\nid: 2\n\n"
                                   "data: c\r\nid: 3\r\n\r\n" );
    for ( auto cut = std::size_t{ 0 }; cut <= text.size(); ++cut )
    {
        auto splitter = exchange::event_splitter{};
        auto events = splitter.take( text.substr( 0, cut ) );
        for ( auto& e : splitter.take( text.substr( cut ) ) )
            events.push_back( std::move( e ) );
        REQUIRE( events.size() == 3 );
        auto joined = std::string{};
        for ( auto const& e : events )
            joined += e.bytes;
        CHECK( joined == text );
        CHECK( events[0].id == 1 );
        CHECK( events[1].id == 2 );
        CHECK( events[2].id == 3 );
        CHECK( splitter.pending() == 0 );
    }
}

TEST_CASE( "the route with the longest matching prefix of a host is found",
           "[routes]" )
{
    auto c = exchange::route_configuration{};
    for ( auto const* prefix : { "/a/", "/a/b/", "/" } )
    {
        auto r = exchange::route{};
        r.id = exchange::route_id( prefix );
        r.host = "h";
        r.prefix = prefix;
        c.routes.push_back( r );
    }
    c.index_routes();
    CHECK( c.find_route( "h", "/a/b/c" )->id.str() == "/a/b/" );
    CHECK( c.find_route( "h", "/a/c" )->id.str() == "/a/" );
    CHECK( c.find_route( "h", "/z" )->id.str() == "/" );
    CHECK( c.find_route( "h", "/a/c?to=/a/b/" )->id.str() == "/a/" );
    CHECK( c.find_route( "other", "/a/" ) == nullptr );
}

TEST_CASE(
    "requests without a route, or without the key that it needs, are not "
    "admitted",
    "[routes]" )
{
    auto c = exchange::route_configuration{};
    for ( auto const* prefix : { "/public/", "/x/" } )
    {
        auto r = exchange::route{};
        r.host = "h";
        r.prefix = prefix;
        r.is_public = r.prefix == "/public/";
        c.routes.push_back( r );
    }
    c.index_routes();
    c.add_workspace( { core::workspace_id( "w" ), {} }, { "key" } );
    CHECK( c.admits( "h", "/x/?a=b", "other" ) );
    c.needs_keys = true;
    CHECK( c.admits( "h", "/x/?a=b", "key" ) );
    CHECK( c.admits( "h", "/public/y", "" ) );
    CHECK_FALSE( c.admits( "h", "/x/", "other" ) );
    CHECK_FALSE( c.admits( "h", "/z", "key" ) );
    CHECK_FALSE( c.admits( "other", "/x/", "key" ) );
}

TEST_CASE( "the instances' shares of the retry budget add up to the whole",
           "[retries]" )
{
    auto const now = core::instant( 100s );
    auto const service = core::service_id( "s" );
    auto total = 0;
    constexpr auto instances = 7;
    for ( auto i = 0; i < instances; ++i )
    {
        auto budget =
            exchange::shared_retry_budget( { 0.2, 102, 10s }, now - 10s, 0.5 );
        budget.set_instances( instances );
        for ( auto r = 0; r < 100; ++r )
            budget.note_request( service, now );
        while ( budget.take( service, now ) )
            ++total;
    }
    CHECK( total <= 0.2 * 700 + 102 );
    CHECK( total >= 0.2 * 700 + 60 );
}

TEST_CASE( "a retry counts against the budget for the whole window",
           "[retries]" )
{
    auto budget =
        exchange::shared_retry_budget( { 0, 4, 10s }, core::instant{}, 0 );
    auto const service = core::service_id( "s" );
    auto const start = core::instant( 100s );
    CHECK( budget.take( service, start ) );
    CHECK( budget.take( service, start + 5s ) );
    CHECK( budget.take( service, start + 5s ) );
    CHECK_FALSE( budget.take( service, start + 9s ) );
    CHECK( budget.take( service, start + 11s ) );
    CHECK_FALSE( budget.take( service, start + 12s ) );
}

namespace
{

class counted_item : public exchange::waiting_item
{
public:
    counted_item( double order, std::int64_t size, bool* has_capacity )
        : order_( order ), size_( size ), has_capacity_( has_capacity )
    {
    }
    auto try_start() -> bool override
    {
        ++attempts;
        return *has_capacity_;
    }
    [[nodiscard]] auto order() const -> double override
    {
        return order_;
    }
    [[nodiscard]] auto service() const -> core::service_id const& override
    {
        return service_;
    }
    [[nodiscard]] auto size() const -> std::int64_t override
    {
        return size_;
    }
    [[nodiscard]] auto is_long() const -> bool override
    {
        return false;
    }
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return always_tried;
    }

    int attempts{ 0 };
    bool always_tried{ false };

private:
    core::service_id service_{ "s" };
    double order_;
    std::int64_t size_;
    bool* has_capacity_;
};

}

TEST_CASE(
    "waiting requests are tried in order, larger ones only if smaller ones fit",
    "[waiting]" )
{
    auto scheduler = held_scheduler{};
    auto queue = exchange::wait_queue( scheduler );
    auto has_capacity = false;
    auto const small = std::make_shared<counted_item>( 2, 10, &has_capacity );
    auto const large = std::make_shared<counted_item>( 3, 20, &has_capacity );
    auto const first = std::make_shared<counted_item>( 1, 15, &has_capacity );
    queue.add( small );
    queue.add( large );
    queue.add( first );
    queue.schedule_round();
    scheduler.run( 2ms );
    CHECK( first->attempts == 1 );
    CHECK( small->attempts == 1 );
    CHECK( large->attempts == 0 );
    has_capacity = true;
    queue.schedule_round();
    scheduler.run( 2ms );
    CHECK( queue.size() == 0 );
}

TEST_CASE( "work counts in the load table until it ends, despite late updates",
           "[board]" )
{
    auto loads = exchange::load_table{};
    auto const now = core::instant( 100s );
    auto const peer = core::instance_id( "peer" );
    loads.put( make_target( "m1", "model" ) );
    auto work = exchange::open_work{};
    work.serial = 1;
    work.parts = { { core::target_id( "m1" ), 100, 5'000 },
                   { core::target_id( "m2" ), 100, 0 } };
    work.context_tokens = 5'000;
    work.tolerated_gap_ms = 200;
    loads.add_work( peer, work, now );
    loads.add_work( peer, work, now );
    auto const m1 = loads.find( core::target_id( "m1" ) );
    CHECK( m1->load.requests == 1 );
    CHECK( m1->load.memory_tokens == 5'000 );
    CHECK( m1->backlog_ms( now ) == Approx( 100 ) );
    // The work does not count at a target that becomes known after it.
    loads.put( make_target( "m2", "model" ) );
    loads.end_prefill( peer, 1, now );
    CHECK( m1->load.decoding == 1 );
    CHECK( m1->backlog_ms( now ) == 0 );
    SECTION( "it ends" )
    {
        loads.end_work( peer, 1, now );
        loads.end_work( peer, 1, now );
    }
    SECTION( "its instance ends" )
    {
        loads.end_all_work( peer, now );
    }
    CHECK( m1->load.requests == 0 );
    CHECK( m1->load.decoding == 0 );
    CHECK( m1->load.memory_tokens == 0 );
    CHECK( m1->load.by_tolerated_gap.empty() );
    auto const m2 = loads.find( core::target_id( "m2" ) );
    CHECK( m2->load.parts_prefilling == 0 );
    CHECK( m2->load.memory_tokens == 0 );
}

TEST_CASE( "a target that keeps failing is ejected for longer each time",
           "[board][health]" )
{
    auto loads = exchange::load_table{};
    auto now = core::instant( 100s );
    auto const id = core::target_id( "m1" );
    loads.put( make_target( "m1", "model" ) );
    auto const m1 = loads.find( id );
    CHECK_FALSE( loads.note_failure( id, now ) );
    CHECK( m1->may_get_work( now ) );
    CHECK( loads.note_failure( id, now ) );
    auto const first = m1->health.ejected_until - now;
    CHECK( first > core::duration( 0 ) );
    now = m1->health.ejected_until;
    CHECK( m1->may_get_work( now ) );
    loads.note_failure( id, now );
    CHECK( m1->health.ejected_until - now > first );
    loads.note_success( id );
    CHECK( m1->health.failures_in_a_row == 0 );
}

TEST_CASE( "a target whose entry returns is used again, a leaving one is not",
           "[board]" )
{
    auto loads = exchange::load_table{};
    auto const id = core::target_id( "m1" );
    auto properties = make_target( "m1", "model" );
    loads.put( properties );
    loads.mark_gone( id );
    CHECK_FALSE( loads.find( id )->takes_work() );
    loads.put( properties );
    CHECK( loads.find( id )->takes_work() );
    properties.leaving = true;
    CHECK( loads.put( properties ) ==
           exchange::target_change::starts_to_leave );
    properties.leaving = false;
    CHECK( loads.put( properties ) == exchange::target_change::none );
    CHECK_FALSE( loads.find( id )->takes_work() );
}

TEST_CASE(
    "an item that is always tried is tried although others found no capacity",
    "[waiting]" )
{
    auto scheduler = held_scheduler{};
    auto queue = exchange::wait_queue( scheduler );
    auto has_capacity = false;
    auto const small = std::make_shared<counted_item>( 1, 10, &has_capacity );
    auto const always = std::make_shared<counted_item>( 2, 20, &has_capacity );
    auto const large = std::make_shared<counted_item>( 3, 15, &has_capacity );
    always->always_tried = true;
    queue.add( small );
    queue.add( always );
    queue.add( large );
    queue.schedule_round();
    scheduler.run( 2ms );
    CHECK( always->attempts == 1 );
    CHECK( large->attempts == 0 );
}

TEST_CASE(
    "the order of a service's targets does not depend on when they were added",
    "[board]" )
{
    auto const names = []( exchange::load_table const& loads )
    {
        auto all = std::vector<std::string>{};
        for ( auto const& t : loads.of_service( core::service_id( "model" ) ) )
            all.push_back( t->properties.id.str() );
        return all;
    };
    auto ascending = exchange::load_table{};
    auto descending = exchange::load_table{};
    for ( auto i = 0; i < 50; ++i )
    {
        ascending.put( make_target( "m" + std::to_string( i ), "model" ) );
        descending.put(
            make_target( "m" + std::to_string( 49 - i ), "model" ) );
    }
    CHECK( names( ascending ) == names( descending ) );
    // A restarted target keeps its position; one that moves to another service
    // leaves the order.
    auto again = make_target( "m7", "model" );
    again.lifetime = core::target_lifetime( 5 );
    CHECK( ascending.put( again ) == exchange::target_change::restarted );
    CHECK( names( ascending ) == names( descending ) );
    ascending.put( make_target( "m8", "plain" ) );
    descending.remove( core::target_id( "m8" ) );
    CHECK( names( ascending ) == names( descending ) );
    CHECK( names( ascending ).size() == 49 );
    CHECK( ascending.of_service( core::service_id( "plain" ) ).size() == 1 );
}

TEST_CASE( "work reported before its targets were known is counted later",
           "[board][coordinator]" )
{
    auto loads = exchange::load_table{};
    auto const other = core::instance_id( "other" );
    auto const now = core::instant( 100s );
    auto work = exchange::open_work{};
    work.serial = 1;
    work.parts = { { core::target_id( "m1" ), 20, 6'000 },
                   { core::target_id( "m2" ), 7'000, 0 } };
    loads.add_work( other, work, now );
    loads.put( make_target( "m1", "model" ) );
    loads.put( make_target( "m2", "model" ) );
    // The next regular message reports it again.
    loads.add_work( other, work, now + 200ms );
    auto const m1 = loads.find( core::target_id( "m1" ) );
    auto const m2 = loads.find( core::target_id( "m2" ) );
    CHECK( m1->load.requests == 1 );
    CHECK( m1->load.memory_tokens == 6'000 );
    CHECK( m2->backlog_ms( now + 200ms ) == Approx( 7'000 ) );
    loads.add_work( other, work, now + 400ms );
    CHECK( m1->load.requests == 1 );
    loads.end_work( other, 1, now + 500ms );
    CHECK( m1->load.requests == 0 );
    CHECK( m1->load.memory_tokens == 0 );
    CHECK( m2->load.parts_prefilling == 0 );
}
