#ifndef POLLENSTREAM_PORTS_SCHEDULER_HPP
#define POLLENSTREAM_PORTS_SCHEDULER_HPP

#include <pollenstream/core/units.hpp>

#include <functional>
#include <memory>

namespace pollenstream::ports
{

/// A pending delayed call; the destructor cancels it.
class scheduled_call
{
public:
    virtual ~scheduled_call() = default;
};

/// Monotonic time and delayed calls on the thread that handles requests.
class scheduler
{
public:
    virtual ~scheduler() = default;
    [[nodiscard]] virtual auto now() const -> core::instant = 0;
    [[nodiscard]] virtual auto call_after( core::duration delay,
                                           std::function<void()> callback )
        -> std::unique_ptr<scheduled_call> = 0;
};

}

#endif
