#ifndef POLLENSTREAM_ADAPTERS_ASIO_ASIO_SCHEDULER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_ASIO_SCHEDULER_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <exception>
#include <functional>
#include <memory>

namespace pollenstream::adapters::asio
{

/// Scheduler that uses the steady clock and the timers of an `io_context`.
class asio_scheduler : public ports::scheduler
{
public:
    /// Receives what a call has thrown.
    using failure_listener = std::function<void( std::exception const& )>;

    explicit asio_scheduler( net::io_context& io );

    /// A call that throws ends alone, and `listener` is told. Without a
    /// listener the exception leaves the event loop.
    auto set_failure_listener( failure_listener listener ) -> void;

    [[nodiscard]] auto now() const -> core::instant override;
    [[nodiscard]] auto call_after( core::duration delay,
                                   std::function<void()> callback )
        -> std::unique_ptr<ports::scheduled_call> override;

private:
    net::io_context& io_;
    /// Shared with the calls, which may outlive this object.
    std::shared_ptr<failure_listener> on_failure_{
        std::make_shared<failure_listener>() };
};

}

#endif
