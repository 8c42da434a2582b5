#include "support/held_scheduler.hpp"
#include <pollenstream/exchange/wait_queue.hpp>

#include <catch2/catch.hpp>

#include <functional>

using namespace tests;
using namespace std::chrono_literals;

namespace exchange = pollenstream::exchange;

namespace
{

class scripted_item : public exchange::waiting_item
{
public:
    explicit scripted_item( double order ) : order_( order ) {}

    auto try_start() -> bool override
    {
        ++tries;
        return on_try ? on_try() : false;
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
        return 1;
    }
    [[nodiscard]] auto is_long() const -> bool override
    {
        return false;
    }
    [[nodiscard]] auto is_always_tried() const -> bool override
    {
        return true;
    }

    int tries{ 0 };
    std::function<bool()> on_try;

private:
    double order_;
    core::service_id service_{ "model" };
};

}

TEST_CASE( "an item that is added again while it is tried keeps its new entry",
           "[waiting_room]" )
{
    auto scheduler = held_scheduler{};
    auto queue = exchange::wait_queue( scheduler );
    auto const item = std::make_shared<scripted_item>( 1 );
    // The first try starts the item, but its target fails at once.
    item->on_try = [&]
    {
        if ( item->tries == 1 )
            queue.add( item );
        return true;
    };
    queue.add( item );
    scheduler.run( 100ms );
    CHECK( item->tries == 2 );
    CHECK( queue.size() == 0 );
}

TEST_CASE( "an item that is removed during a round is not tried in it",
           "[waiting_room]" )
{
    auto scheduler = held_scheduler{};
    auto queue = exchange::wait_queue( scheduler );
    auto const first = std::make_shared<scripted_item>( 1 );
    auto const second = std::make_shared<scripted_item>( 2 );
    first->on_try = [&]
    {
        queue.remove( second.get() );
        return true;
    };
    queue.add( first );
    queue.add( second );
    scheduler.run( 100ms );
    CHECK( first->tries == 1 );
    CHECK( second->tries == 0 );
}
