#ifndef POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP
#define POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace pollenstream::exchange
{

/// The retries that operators allow all instances together.
struct retry_allowance
{
    double ratio{ 0.2 };  ///< retries for each request
    double constant{ 0 }; ///< further retries in a window
    core::duration window{ std::chrono::seconds( 10 ) };
};

/// This instance's part of the retry budget of each service. The part is the
/// ratio of its own requests plus its share of the constant. The parts of all
/// instances stay within the whole, so that no counter has to be shared.
class shared_retry_budget
{
public:
    explicit shared_retry_budget( retry_allowance allowance );

    auto set_allowance( retry_allowance allowance ) -> void;
    /// The number of instances among which the constant is divided.
    auto set_instances( std::size_t count ) -> void;

    auto note_request( core::service_id const& service, core::instant now )
        -> void;
    /// Takes one retry; false where this instance's part is used up.
    auto take( core::service_id const& service, core::instant now ) -> bool;
    /// True where a retry could be taken now.
    [[nodiscard]] auto can_take( core::service_id const& service,
                                 core::instant now ) -> bool;

private:
    struct window
    {
        std::deque<core::instant> requests;
        std::deque<core::instant> retries;
    };
    auto drop_expired( window& recent, core::instant now ) const -> void;
    [[nodiscard]] auto has_budget( window const& recent ) const -> bool;

    retry_allowance allowance_;
    std::size_t instances_{ 1 };
    std::unordered_map<core::service_id, window> windows_;
};

}

#endif
