#ifndef POLLENSTREAM_ADMISSION_RETRY_BUDGET_HPP
#define POLLENSTREAM_ADMISSION_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace pollenstream::admission
{

/// Limits retries to a tenth of the requests, so that retries do not multiply
/// the load during an outage of targets. Each request adds a tenth of a retry
/// to the budget, which starts full with 100 retries and holds no more.
class retry_budget
{
public:
    /// Adds the credit of one request.
    auto note_request() -> void;
    /// Takes one retry; returns false if the budget is exhausted.
    auto take() -> bool;
    /// Returns a retry that was taken but not sent.
    auto give_back() -> void;

private:
    auto add( std::int64_t credit ) -> void;

    static constexpr auto retry_cost = std::int64_t{ 10 };
    static constexpr auto max_credit = std::int64_t{ 100 } * retry_cost;

    std::atomic<std::int64_t> credit_{ max_credit };
};

}

#endif
