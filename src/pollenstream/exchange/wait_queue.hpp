#ifndef POLLENSTREAM_EXCHANGE_WAIT_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_WAIT_QUEUE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <exception>
#include <memory>
#include <vector>

namespace pollenstream::exchange
{

/// A request that waits for capacity at a target.
class waiting_item
{
public:
    virtual ~waiting_item() = default;

    /// Starts the request if a target has capacity. Returns true where it no
    /// longer waits, for whatever reason.
    virtual auto try_start() -> bool = 0;
    /// Requests with the lowest value are tried first.
    [[nodiscard]] virtual auto order() const -> double = 0;
    [[nodiscard]] virtual auto service() const -> core::service_id const& = 0;
    /// Size of the request. Where one did not fit, larger ones are skipped.
    [[nodiscard]] virtual auto size() const -> std::int64_t = 0;
    /// Long and short requests are placed by different rules, so that capacity
    /// for one kind says nothing about the other.
    [[nodiscard]] virtual auto is_long() const -> bool = 0;
    /// True where it is tried in each round, even if a smaller request did not
    /// fit.
    [[nodiscard]] virtual auto is_always_tried() const -> bool = 0;
};

/// Requests that wait for capacity at targets: those of this instance, and the
/// placement requests of other instances at its coordinator.
class wait_queue
{
public:
    explicit wait_queue( ports::scheduler& scheduler );

    auto add( std::shared_ptr<waiting_item> item ) -> void;
    auto remove( waiting_item const* item ) -> void;
    /// Tries the waiting requests soon. Called when the load has changed.
    auto schedule_round() -> void;
    [[nodiscard]] auto size() const -> std::size_t
    {
        return waiting_.size();
    }

private:
    auto run_round() -> void;
    auto try_all() -> std::exception_ptr;
    auto try_item( std::shared_ptr<waiting_item> const& item,
                   std::exception_ptr& failure ) -> bool;
    [[nodiscard]] auto was_removed( waiting_item const* item ) const -> bool;
    auto schedule_round_in( core::duration delay ) -> void;

    ports::scheduler& scheduler_;
    std::vector<std::shared_ptr<waiting_item>> waiting_;
    /// Removed during the current round by the requests that it started.
    std::vector<waiting_item const*> removed_;
    bool in_round_{ false };
    std::unique_ptr<ports::scheduled_call> round_;
    core::instant round_at_;
};

}

#endif
