#include <pollenstream/adapters/system/asio_timer.hpp>
#include <pollenstream/adapters/system/guarded.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace pollenstream::adapters::system
{

asio_timer::asio_timer( ports::clock const& clock )
    : clock_( clock ), work_( boost::asio::make_work_guard( loop_ ) ),
      thread_(
          [this]
          {
              loop_.run();
          } )
{
}

asio_timer::~asio_timer()
{
    stop();
}

auto asio_timer::at( core::instant when, std::function<void()> callback )
    -> void
{
    auto const after = std::max( core::duration( 0 ), when - clock_.now() );
    auto wait = std::make_shared<boost::asio::steady_timer>( loop_, after );
    wait->async_wait(
        [wait, callback = std::move( callback )](
            boost::system::error_code const& status )
        {
            if ( !status )
                run_guarded( "a timer", callback );
        } );
}

auto asio_timer::stop() -> void
{
    loop_.stop();
    if ( thread_.joinable() && thread_.get_id() != std::this_thread::get_id() )
        thread_.join();
}

}
