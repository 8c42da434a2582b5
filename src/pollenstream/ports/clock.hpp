#ifndef POLLENSTREAM_PORTS_CLOCK_HPP
#define POLLENSTREAM_PORTS_CLOCK_HPP

#include <pollenstream/core/units.hpp>

#include <functional>

namespace pollenstream::ports
{

/// The process's monotonic time.
class clock
{
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual auto now() const -> core::instant = 0;
};

/// Runs callbacks at given points in time. They run on the timer's own thread
/// and must return quickly.
class timer
{
public:
    virtual ~timer() = default;
    virtual auto at( core::instant when, std::function<void()> callback )
        -> void = 0;
};

}

#endif
