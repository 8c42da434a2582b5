#ifndef STANDINS_HELD_TIME_HPP
#define STANDINS_HELD_TIME_HPP

#include <pollenstream/ports/clock.hpp>

#include <functional>
#include <map>
#include <optional>

namespace standins
{

namespace core = pollenstream::core;
namespace ports = pollenstream::ports;

/// A clock and timer that stand still until a test moves them.
class held_time : public ports::clock, public ports::timer
{
public:
    [[nodiscard]] auto now() const -> core::instant override;
    auto at( core::instant when, std::function<void()> callback )
        -> void override;

    /// Moves on, running each due callback at its own time.
    auto advance( core::duration by ) -> void;
    /// The earliest callback, or nothing.
    [[nodiscard]] auto next() const -> std::optional<core::instant>;
    /// Moves to `when` without looking back; runs what is due.
    auto advance_to( core::instant when ) -> void;

private:
    core::instant now_{ std::chrono::seconds( 1000 ) };
    std::multimap<core::instant, std::function<void()>> due_;
};

}

#endif
