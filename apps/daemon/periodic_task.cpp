#include "periodic_task.hpp"

#include <pollenstream/adapters/system/guarded.hpp>

#include <chrono>
#include <utility>

namespace apps::daemon
{

namespace
{

using pollenstream::adapters::system::run_guarded;

constexpr auto pause_after_failure =
    pollenstream::core::duration( std::chrono::seconds( 1 ) );

}

periodic_task::periodic_task( body run )
    : run_( std::move( run ) ), thread_(
                                    [this]
                                    {
                                        loop();
                                    } )
{
}

periodic_task::~periodic_task()
{
    ask_to_stop();
    thread_.join();
}

auto periodic_task::ask_to_stop() -> void
{
    auto const lock = std::scoped_lock( mutex_ );
    stopping_ = true;
    wake_.notify_all();
}

auto periodic_task::loop() -> void
{
    auto next = pollenstream::core::duration( 0 );
    do
    {
        next = pause_after_failure;
        run_guarded( "a periodic task",
                     [&]
                     {
                         next = run_();
                     } );
    } while ( pause( next ) );
}

auto periodic_task::pause( pollenstream::core::duration how_long ) -> bool
{
    auto lock = std::unique_lock( mutex_ );
    wake_.wait_for( lock, how_long,
                    [this]
                    {
                        return stopping_;
                    } );
    return !stopping_;
}

}
