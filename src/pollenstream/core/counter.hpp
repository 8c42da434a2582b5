#ifndef POLLENSTREAM_CORE_COUNTER_HPP
#define POLLENSTREAM_CORE_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace pollenstream::core
{

/// A thread-safe event counter; the state dump reads its value.
class counter
{
public:
    auto add( std::uint64_t n = 1 ) noexcept -> void
    {
        value_.fetch_add( n, std::memory_order_relaxed );
    }
    [[nodiscard]] auto value() const noexcept -> std::uint64_t
    {
        return value_.load( std::memory_order_relaxed );
    }

private:
    std::atomic<std::uint64_t> value_{ 0 };
};

}

#endif
