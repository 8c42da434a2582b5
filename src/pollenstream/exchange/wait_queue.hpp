#ifndef POLLENSTREAM_EXCHANGE_WAIT_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_WAIT_QUEUE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace pollenstream::exchange
{

/// A request that waits for room at a target.
class waiting_item
{
public:
    virtual ~waiting_item() = default;

    /// Starts if there is room now. Returns true where the request does not
    /// wait any more, whatever the reason.
    virtual auto try_start() -> bool = 0;
    /// Requests with the lowest value are tried first.
    [[nodiscard]] virtual auto order() const -> double = 0;
    [[nodiscard]] virtual auto service() const -> core::service_id const& = 0;
    /// Size of what it needs; where one did not fit, larger ones are skipped.
    [[nodiscard]] virtual auto size() const -> std::int64_t = 0;
    [[nodiscard]] virtual auto is_long() const -> bool = 0;
    /// It is tried in each round, whatever has found no room before it.
    [[nodiscard]] virtual auto is_always_tried() const -> bool = 0;
};

/// Requests that wait for room at targets: this instance's own, and the asks of
/// others for which it places.
class wait_queue
{
public:
    explicit wait_queue( ports::scheduler& scheduler );

    auto add( std::shared_ptr<waiting_item> who ) -> void;
    auto remove( waiting_item const* who ) -> void;
    /// Tries the waiting requests soon; called when load has changed.
    auto poke() -> void;
    [[nodiscard]] auto size() const -> std::size_t
    {
        return waiting_.size();
    }

private:
    auto run_round() -> void;
    auto try_one( std::shared_ptr<waiting_item> const& who ) -> bool;
    [[nodiscard]] auto was_removed( waiting_item const* who ) const -> bool;
    auto arm( core::duration delay ) -> void;

    ports::scheduler& scheduler_;
    std::vector<std::shared_ptr<waiting_item>> waiting_;
    /// Taken out since the present round began, by what the round has started.
    std::vector<waiting_item const*> removed_;
    bool in_round_{ false };
    std::unique_ptr<ports::scheduled_call> round_;
    core::instant round_at_;
};

}

#endif
