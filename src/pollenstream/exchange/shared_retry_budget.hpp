#ifndef POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP
#define POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace pollenstream::exchange
{

/// What the operators allow all instances together.
struct retry_allowance
{
    double ratio{ 0.2 };  ///< repeats for each request
    double constant{ 0 }; ///< repeats in a window besides
    core::duration window{ std::chrono::seconds( 10 ) };
};

/// This instance's part of the retry budget of each service. A part is the
/// ratio of the instance's own requests and its share of the constant, so
/// that no counter has to be shared: the parts add up to the whole.
class shared_retry_budget
{
public:
    explicit shared_retry_budget( retry_allowance allowance );

    auto set_allowance( retry_allowance allowance ) -> void;
    /// The number of instances between which the constant is divided.
    auto set_instances( std::size_t count ) -> void;

    auto note_request( core::service_id const& service, core::instant now )
        -> void;
    /// Takes one repeat; false where this instance's part is used up.
    auto take( core::service_id const& service, core::instant now ) -> bool;
    /// True where a repeat could be taken now.
    [[nodiscard]] auto has( core::service_id const& service, core::instant now )
        -> bool;

private:
    struct window
    {
        std::deque<core::instant> requests;
        std::deque<core::instant> repeats;
    };
    auto forget_old( window& w, core::instant now ) const -> void;
    [[nodiscard]] auto has_room( window const& w ) const -> bool;

    retry_allowance allowance_;
    std::size_t instances_{ 1 };
    std::unordered_map<core::service_id, window> windows_;
};

}

#endif
