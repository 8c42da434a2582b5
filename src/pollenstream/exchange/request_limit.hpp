#ifndef POLLENSTREAM_EXCHANGE_REQUEST_LIMIT_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_LIMIT_HPP

#include <pollenstream/exchange/known_limit.hpp>
#include <pollenstream/exchange/request_pace.hpp>
#include <pollenstream/exchange/sent_times.hpp>

#include <optional>
#include <vector>

namespace pollenstream::exchange
{

/// The rate limits of one lifetime of a target, which hold for all instances
/// together, the requests that they have sent, and when the next one may go. A
/// target may report a limit, and it has another one while it warms up; the
/// lower one counts.
class request_limit
{
public:
    auto note_report( limit_report const& report, core::instant now )
        -> limit_change;
    /// Requests a second that the target takes while it warms up; empty if that
    /// is not limited.
    auto set_warm_up_rate( std::optional<double> per_second, core::instant now )
        -> void;
    /// The target warms up until the given time, which replaces an earlier one.
    auto set_warm_up_end( core::instant until, core::instant now ) -> void;
    /// An instance sent `requests` at the same time.
    auto note_sent( core::instant at, std::size_t requests ) -> void;
    /// This instance sent a request that it does not announce to the others. If
    /// the target reports a limit later, the coordinator has to count it.
    auto note_unreported( core::instant at ) -> void;
    /// Times of the unreported requests in the last window. Clears them.
    auto take_unreported( core::instant now ) -> std::vector<core::instant>;
    /// This instance sent one of the requests without a coordinator's grant.
    auto note_uncoordinated( core::instant at ) -> void;

    /// The limit that the target reports.
    [[nodiscard]] auto reported_per_second() const -> std::optional<double>
    {
        return known_.per_second();
    }
    /// The limit in force: the reported one, or that of the warm-up.
    [[nodiscard]] auto per_second( core::instant now ) const
        -> std::optional<double>;
    [[nodiscard]] auto is_warming_up( core::instant now ) const -> bool
    {
        return now < warm_up_until_;
    }
    [[nodiscard]] auto current_report() const -> limit_report const&
    {
        return known_.current_report();
    }
    /// Requests of all instances in the last window, as far as known here.
    [[nodiscard]] auto sent_in_window( core::instant now ) const -> std::size_t
    {
        return sent_.count_within( now );
    }
    /// When the next request may be sent; the epoch where there is no limit.
    [[nodiscard]] auto next( limit_use use,
                             limit_shares const& shares,
                             core::instant now ) const -> core::instant;
    /// Requests a second that this instance may send or grant; zero where there
    /// is no limit.
    [[nodiscard]] auto rate( limit_use use,
                             limit_shares const& shares,
                             core::instant now ) const -> double;
    /// True where the target has reported a limit and was sent nothing for so
    /// long that the limit may no longer hold.
    [[nodiscard]] auto is_limit_stale( core::instant now ) const -> bool;

private:
    [[nodiscard]] auto has_warm_up_limit( core::instant now ) const -> bool
    {
        return warm_up_rate_ && is_warming_up( now );
    }
    auto start_warm_up_pace( core::instant now ) -> void;

    known_limit known_;
    sent_times sent_;
    sent_times unreported_;
    request_pace pace_;
    std::optional<double> warm_up_rate_; ///< requests a second
    core::instant warm_up_until_;
    request_pace warm_up_pace_;
};

}

#endif
