#ifndef POLLENSTREAM_ADAPTERS_SYSTEM_STEADY_CLOCK_HPP
#define POLLENSTREAM_ADAPTERS_SYSTEM_STEADY_CLOCK_HPP

#include <pollenstream/ports/clock.hpp>

namespace pollenstream::adapters::system
{

/// The operating system's monotonic clock.
class steady_clock : public ports::clock
{
public:
    [[nodiscard]] auto now() const -> core::instant override;
};

}

#endif
