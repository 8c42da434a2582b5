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

/// Where a waiting request stands in the order between workspaces.
struct share_standing
{
    int priority{ 0 }; ///< lower values go first
    /// Part of `waiting_item::order()` for a workspace that is over its share;
    /// zero for all others.
    double penalty{ 0 };
    bool has_waited_long{ false }; ///< for more than half of its patience

    [[nodiscard]] auto is_over() const -> bool
    {
        return penalty > 0;
    }
};

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
    [[nodiscard]] virtual auto share() const -> share_standing
    {
        return {};
    }
    /// A request of a workspace within its share is tried before this one only
    /// because this one's workspace is over its share.
    virtual auto on_yielded() -> void {}
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
    /// An item with its place in one round.
    struct round_entry
    {
        std::shared_ptr<waiting_item> item;
        double order{ 0 };
        share_standing share;
    };

    [[nodiscard]] auto entries_in_order() const -> std::vector<round_entry>;
    static auto report_yielded( std::vector<round_entry> const& entries )
        -> void;
    auto run_round() -> void;
    auto try_item( std::shared_ptr<waiting_item> const& item ) -> bool;
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
