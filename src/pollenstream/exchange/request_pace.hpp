#ifndef POLLENSTREAM_EXCHANGE_REQUEST_PACE_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_PACE_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/sent_times.hpp>

#include <cstddef>
#include <optional>

namespace pollenstream::exchange
{

/// How an instance may use a target's limit, which holds for all instances
/// together.
enum class limit_use
{
    /// As the coordinator, which knows what all instances send.
    coordinated,
    /// On its own, without a coordinator's grant.
    uncoordinated,
};

/// The fractions of each limit that one instance may use.
struct limit_shares
{
    double coordinated{ 1 };
    double uncoordinated{ 1 };
    /// From 0 to 1, different at each instance, so that their uncoordinated
    /// requests do not arrive at the same time or at the same target.
    double phase{ 0 };
    /// The other instances have had time to tell this one of their work.
    bool knows_all_work{ true };
};

/// Paces the requests to a target with a rate limit. They are sent at equal
/// intervals, and unused intervals earn no burst: neither those before the
/// limit is known nor those in which fewer requests are sent than it allows.
class request_pace
{
public:
    auto start( double per_second, core::instant now ) -> void;
    auto set_rate( double per_second, core::instant now ) -> void;
    /// An instance sent `requests` at the same time.
    auto note_sent( core::instant at, std::size_t requests ) -> void;
    auto note_uncoordinated( core::instant at ) -> void;

    /// Earliest time for the next request, given those that were sent.
    [[nodiscard]] auto next( limit_use use,
                             limit_shares const& shares,
                             sent_times const& sent ) const -> core::instant;
    /// Requests a second.
    [[nodiscard]] auto rate() const -> double
    {
        return rate_;
    }

private:
    [[nodiscard]] auto next_coordinated( double share,
                                         sent_times const& sent ) const
        -> core::instant;
    [[nodiscard]] auto next_uncoordinated( limit_shares const& shares ) const
        -> core::instant;

    double rate_{ 1 };
    core::instant started_at_;
    core::instant due_; ///< of the next request of all instances
    std::optional<core::instant> last_uncoordinated_;
};

}

#endif
