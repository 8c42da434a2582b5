#ifndef POLLENSTREAM_ADMISSION_RETRY_BUDGET_HPP
#define POLLENSTREAM_ADMISSION_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace pollenstream::admission
{

/// Bounds retries to a part of the requests, so that an outage of targets is
/// not multiplied: each first attempt earns a tenth of a retry.
class retry_budget
{
public:
    auto note_request() -> void;
    /// Takes one retry; false where the budget is empty.
    auto take() -> bool;
    /// A retry that was taken has not been sent.
    auto give_back() -> void;

private:
    auto add( std::int64_t credit ) -> void;

    static constexpr auto cost = std::int64_t{ 10 };
    static constexpr auto most = std::int64_t{ 100 } * cost;

    std::atomic<std::int64_t> credit_{ most };
};

}

#endif
