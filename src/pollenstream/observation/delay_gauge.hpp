#ifndef POLLENSTREAM_OBSERVATION_DELAY_GAUGE_HPP
#define POLLENSTREAM_OBSERVATION_DELAY_GAUGE_HPP

#include <pollenstream/core/units.hpp>

#include <algorithm>

namespace pollenstream::observation
{

/// The last and the longest of a series of delays.
class delay_gauge
{
public:
    auto note( core::duration delay ) -> void
    {
        last_ = delay;
        longest_ = std::max( longest_, delay );
    }
    [[nodiscard]] auto last() const -> core::duration
    {
        return last_;
    }
    [[nodiscard]] auto longest() const -> core::duration
    {
        return longest_;
    }

private:
    core::duration last_{ 0 };
    core::duration longest_{ 0 };
};

}

#endif
