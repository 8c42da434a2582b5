#ifndef POLLENSTREAM_EXCHANGE_MEMORY_QUEUE_HPP
#define POLLENSTREAM_EXCHANGE_MEMORY_QUEUE_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/core/memory_budget.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace pollenstream::exchange
{

/// Answers that found no memory for what their target has sent. Their targets
/// are not read until there is some. The oldest answer is always read, so that
/// answers end and give their memory back.
class memory_queue
{
public:
    memory_queue( ports::scheduler& scheduler,
                  std::shared_ptr<core::memory_budget> budget );

    /// The answer of attempt `serial` has found no memory. Returns true if it
    /// has to wait: `resume` is called later, unless the attempt leaves before.
    auto wait( std::uint64_t serial, std::function<void()> resume ) -> bool;
    /// The attempt has ended.
    auto leave( std::uint64_t serial ) -> void;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return waiting_.size();
    }
    /// Times that an answer had to wait.
    [[nodiscard]] auto waits() const -> std::uint64_t
    {
        return waits_.value();
    }

private:
    auto arm_round() -> void;
    auto run_round() -> void;

    ports::scheduler& scheduler_;
    std::shared_ptr<core::memory_budget> budget_;
    /// By serial, so by age. Null for the oldest, which does not wait.
    std::map<std::uint64_t, std::function<void()>> waiting_;
    core::counter waits_;
    std::unique_ptr<ports::scheduled_call> round_call_;
};

}

#endif
