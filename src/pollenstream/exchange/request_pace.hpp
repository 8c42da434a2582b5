#ifndef POLLENSTREAM_EXCHANGE_REQUEST_PACE_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_PACE_HPP

#include <pollenstream/core/units.hpp>
#include <pollenstream/exchange/sent_times.hpp>

#include <cstddef>
#include <optional>

namespace pollenstream::exchange
{

/// How an instance may use a target's limit, which is meant for all together.
enum class limit_use
{
    for_all,       ///< it places for all instances, and knows of what they send
    uncoordinated, ///< it sends without an answer of those who place for all
};

/// The parts of each limit that one instance may use.
struct limit_shares
{
    double for_all{ 1 };
    double uncoordinated{ 1 };
    /// From 0 to 1, another one at each instance, so that what they send
    /// unasked does not come at the same moment.
    double phase{ 0 };
};

/// When the next request may be sent to a target that takes a number of them a
/// second. They go out at equal distances, and nothing is saved up while there
/// are none: not before the limit is known, and not while it is higher than
/// what is sent.
class request_pace
{
public:
    auto begin( double per_second, core::instant now ) -> void;
    auto change( double per_second, core::instant now ) -> void;
    /// `requests` were sent at once, by whichever instance.
    auto note_sent( core::instant at, std::size_t requests ) -> void;
    auto note_uncoordinated( core::instant at ) -> void;

    /// Earliest moment for the next request, given what has been sent.
    [[nodiscard]] auto next( limit_use use,
                             limit_shares const& shares,
                             sent_times const& sent ) const -> core::instant;
    /// Requests a second at which it goes.
    [[nodiscard]] auto rate() const -> double
    {
        return rate_;
    }

private:
    [[nodiscard]] auto next_for_all( double share,
                                     sent_times const& sent ) const
        -> core::instant;
    [[nodiscard]] auto next_uncoordinated( limit_shares const& shares ) const
        -> core::instant;

    double rate_{ 1 };
    core::instant began_;
    core::instant due_; ///< of the next request of all instances
    std::optional<core::instant> last_uncoordinated_;
};

}

#endif
