#include "support/held_scheduler.hpp"
#include <pollenstream/exchange/wait_queue.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace tests;
using namespace std::chrono_literals;
namespace exchange = pollenstream::exchange;

// Guards against one waiting request that keeps all others from being tried.

namespace
{

class waiting : public exchange::waiting_item
{
public:
    explicit waiting( bool throws ) : throws_( throws ) {}

    auto try_start() -> bool override
    {
        ++tries;
        if ( throws_ )
            throw std::runtime_error( "test" );
        return tries == 2;
    }
    [[nodiscard]] auto order() const -> double override
    {
        return throws_ ? 0 : 1;
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

private:
    bool throws_;
    core::service_id service_{ "s" };
};

}

TEST_CASE( "a waiting request that throws leaves the queue alone",
           "[wait_queue][exception]" )
{
    auto scheduler = held_scheduler{};
    auto queue = exchange::wait_queue( scheduler );
    auto const bad = std::make_shared<waiting>( true );
    auto const good = std::make_shared<waiting>( false );
    queue.add( bad );
    queue.add( good );
    CHECK_THROWS( scheduler.run( 100ms ) );
    CHECK( queue.size() == 1 );
    scheduler.run( 100ms );
    CHECK( bad->tries == 1 );
    CHECK( good->tries == 2 );
    CHECK( queue.size() == 0 );
}
