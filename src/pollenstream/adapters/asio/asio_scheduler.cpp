#include <pollenstream/adapters/asio/asio_scheduler.hpp>

#include <algorithm>
#include <chrono>

namespace pollenstream::adapters::asio
{

namespace
{

using namespace std::chrono_literals;

/// Longest delay of a timer. The steady clock has a finer unit than
/// `core::duration`, so a longer delay could overflow its time points.
constexpr auto max_delay = core::duration( 24h * 365 );

/// A timer whose callback does not run after this object is destroyed.
class timer_call : public ports::scheduled_call
{
public:
    timer_call( net::io_context& io,
                core::duration delay,
                std::function<void()> callback,
                std::shared_ptr<asio_scheduler::failure_listener> on_failure )
        : timer_( io ), live_( std::make_shared<bool>( true ) )
    {
        timer_.expires_after(
            std::clamp( delay, core::duration( 0 ), max_delay ) );
        timer_.async_wait(
            [live = live_, call = std::move( callback ),
             on_failure = std::move( on_failure )]( error_code ec )
            {
                if ( !ec && *live )
                    run( call, *on_failure );
            } );
    }
    ~timer_call() override
    {
        *live_ = false;
    }

private:
    static auto run( std::function<void()> const& call,
                     asio_scheduler::failure_listener const& on_failure )
        -> void
    {
        try
        {
            call();
        }
        catch ( std::exception const& e )
        {
            if ( !on_failure )
                throw;
            on_failure( e );
        }
    }

    net::steady_timer timer_;
    std::shared_ptr<bool> live_;
};

}

asio_scheduler::asio_scheduler( net::io_context& io ) : io_( io ) {}

auto asio_scheduler::set_failure_listener( failure_listener listener ) -> void
{
    *on_failure_ = std::move( listener );
}

auto asio_scheduler::now() const -> core::instant
{
    return core::instant( std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch() ) );
}

auto asio_scheduler::call_after( core::duration delay,
                                 std::function<void()> callback )
    -> std::unique_ptr<ports::scheduled_call>
{
    return std::make_unique<timer_call>( io_, delay, std::move( callback ),
                                         on_failure_ );
}

}
