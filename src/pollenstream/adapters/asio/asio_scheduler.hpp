#ifndef POLLENSTREAM_ADAPTERS_ASIO_ASIO_SCHEDULER_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_ASIO_SCHEDULER_HPP

#include <pollenstream/adapters/asio/prelude.hpp>
#include <pollenstream/ports/scheduler.hpp>

namespace pollenstream::adapters::asio
{

/// Scheduler that uses the steady clock and the timers of an `io_context`.
class asio_scheduler : public ports::scheduler
{
public:
    explicit asio_scheduler( net::io_context& io );

    [[nodiscard]] auto now() const -> core::instant override;
    [[nodiscard]] auto call_after( core::duration delay,
                                   std::function<void()> callback )
        -> std::unique_ptr<ports::scheduled_call> override;

private:
    net::io_context& io_;
};

}

#endif
