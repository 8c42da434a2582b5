#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_ASIO_TIMER_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_ASIO_TIMER_HPP

#include <pollenstream/ports/clock.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace pollenstream::adapters::system
{

/// Runs timer callbacks on a dedicated thread.
class asio_timer : public ports::timer
{
public:
    explicit asio_timer( ports::clock const& clock );
    ~asio_timer() override;

    auto at( core::instant when, std::function<void()> callback )
        -> void override;

    /// Prevents further callbacks. Waits for a running callback to return,
    /// unless it is called from that callback.
    auto stop() -> void;

private:
    ports::clock const& clock_;
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    std::thread thread_;
};

}

#endif
