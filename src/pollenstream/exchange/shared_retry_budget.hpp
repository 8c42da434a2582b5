#ifndef POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP
#define POLLENSTREAM_EXCHANGE_SHARED_RETRY_BUDGET_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
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

/// This instance's part of the retry budget of a service is used up.
struct used_up_retry_budget
{
    core::service_id service;
    std::size_t instances{ 1 }; ///< among which the constant is divided
    std::size_t retries{ 0 };   ///< taken by this process in the window
};

/// This instance's part of the retry budget of each service. The part is the
/// ratio of its own requests plus its share of the constant. The parts of all
/// instances, over all their processes, stay within the whole, so that no
/// counter has to be shared.
///
/// A process does not know what the one before it on the same instance has
/// taken. Until a whole window has passed since its start it takes no more than
/// its share of a reserve, which accrues with time.
class shared_retry_budget
{
public:
    /// `started`: when this process started. `rounding`: fraction below one
    /// that is added to the part before it is rounded down. It should differ
    /// between instances, so that together they use the fractions of all parts.
    shared_retry_budget( retry_allowance allowance,
                         core::instant started,
                         double rounding );

    auto set_allowance( retry_allowance allowance ) -> void;
    /// The number of instances among which the constant is divided.
    auto set_instances( std::size_t count ) -> void;

    auto note_request( core::service_id const& service, core::instant now )
        -> void;
    /// Takes one retry; false where this instance's part is used up.
    auto take( core::service_id const& service, core::instant now ) -> bool;
    /// Returns the last retry that was taken, because it reached no target.
    auto give_back( core::service_id const& service ) -> void;
    /// True where a retry could be taken now.
    [[nodiscard]] auto can_take( core::service_id const& service,
                                 core::instant now ) -> bool;

    [[nodiscard]] auto instances() const -> std::size_t
    {
        return instances_;
    }
    /// Number of times that a retry was asked for and this instance's part was
    /// used up.
    [[nodiscard]] auto denied() const -> std::uint64_t
    {
        return denied_;
    }

    /// Called when a retry is denied because the part of a service is used up,
    /// at most once in a window.
    std::function<void( used_up_retry_budget const& )> on_used_up;

private:
    struct window
    {
        std::deque<core::instant> requests;
        std::deque<core::instant> retries;
        std::optional<core::instant> last_used_up;
    };
    auto drop_expired( window& recent, core::instant now ) const -> void;
    /// Number of retries that may be taken in the window that ends now.
    [[nodiscard]] auto allowed( window const& recent, core::instant now ) const
        -> double;
    [[nodiscard]] auto has_budget( window const& recent,
                                   core::instant now ) const -> bool;
    auto note_denied( core::service_id const& service,
                      window& recent,
                      core::instant now ) -> void;

    retry_allowance allowance_;
    core::instant started_;
    double rounding_;
    std::size_t instances_{ 1 };
    std::uint64_t denied_{ 0 };
    std::unordered_map<core::service_id, window> windows_;
};

}

#endif
