#ifndef POLLENSTREAM_PORTS_CLOCK_HPP
#define POLLENSTREAM_PORTS_CLOCK_HPP

#include <pollenstream/core/units.hpp>

#include <functional>

namespace pollenstream::ports
{

/// Monotonic time of the process.
class clock
{
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual auto now() const -> core::instant = 0;
};

/// Calls back at a point in time. A callback runs on the timer's own thread
/// and must be short.
class timer
{
public:
    virtual ~timer() = default;
    virtual auto at( core::instant when, std::function<void()> callback )
        -> void = 0;
};

}

#endif
