#ifndef TESTS_SUPPORT_DIRECTORY_CALLERS_HPP
#define TESTS_SUPPORT_DIRECTORY_CALLERS_HPP

#include "support/exchange_fleet.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tests
{

/// One call with the instance of its first attempt.
struct directed_call
{
    core::instant at;
    int instance{ 0 };
    std::shared_ptr<fleet_call> call;

    [[nodiscard]] auto is_served_at_first() const -> bool
    {
        return call->served && call->attempts == 1;
    }
};

/// First attempts at some instances.
struct first_attempts
{
    int sent{ 0 };
    int served{ 0 };
};

/// Callers that ask an instance's directory where to connect and keep its
/// answer for its time to live, a third of them for three times as long.
class directory_callers
{
public:
    explicit directory_callers( exchange_fleet& fleet );

    /// Sends calls at a constant rate, prompts and plain calls in turn.
    auto send_for( core::duration time, core::duration interval ) -> void;
    /// First attempts from `from` on, at the instances for which `counts`.
    [[nodiscard]] auto count( core::instant from,
                              std::function<bool( int )> const& counts ) const
        -> first_attempts;

    std::vector<directed_call> calls;

private:
    struct caller
    {
        std::vector<int> instances;
        core::instant ask_at;
        core::duration keep_time;
    };
    auto ask( caller& who ) -> void;
    auto pick( std::size_t count ) -> std::size_t;

    exchange_fleet& fleet_;
    std::vector<caller> callers_;
    std::minstd_rand random_{ 7 };
};

}

#endif
