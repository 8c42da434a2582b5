#ifndef POLLENSTREAM_EXCHANGE_REQUEST_LIMIT_HPP
#define POLLENSTREAM_EXCHANGE_REQUEST_LIMIT_HPP

#include <pollenstream/exchange/known_limit.hpp>
#include <pollenstream/exchange/request_pace.hpp>
#include <pollenstream/exchange/sent_times.hpp>

#include <optional>
#include <vector>

namespace pollenstream::exchange
{

/// How many requests a second one lifetime of a target takes from all instances
/// together, what they have sent it, and when it may get the next one.
class request_limit
{
public:
    auto take( limit_report const& what, core::instant now ) -> limit_change;
    /// `requests` were sent at once, by whichever instance.
    auto note_sent( core::instant at, std::size_t requests ) -> void;
    /// This instance sent a request of which it tells nobody. They count for
    /// who places for all, should the target name a limit.
    auto note_unreported( core::instant at ) -> void;
    /// When it did so in the last window; each is given once.
    auto take_unreported( core::instant now ) -> std::vector<core::instant>;
    /// One of them was sent by this instance without having asked.
    auto note_uncoordinated( core::instant at ) -> void;

    [[nodiscard]] auto per_second() const -> std::optional<double>
    {
        return known_.per_second();
    }
    [[nodiscard]] auto held() const -> limit_report const&
    {
        return known_.held();
    }
    /// Requests of all instances in the last window, as far as this one knows.
    [[nodiscard]] auto sent_in_window( core::instant now ) const -> std::size_t
    {
        return sent_.count_within( now );
    }
    /// When the next request may be sent; long ago where there is no limit.
    [[nodiscard]] auto next( limit_use use, limit_shares const& shares ) const
        -> core::instant;
    /// Requests a second that this instance may send or hand out.
    [[nodiscard]] auto rate( limit_use use, limit_shares const& shares ) const
        -> double;
    /// It has got nothing for so long that it cannot have said whether its
    /// limit still holds.
    [[nodiscard]] auto is_limit_stale( core::instant now ) const -> bool;

private:
    known_limit known_;
    sent_times sent_;
    sent_times unreported_;
    request_pace pace_;
};

}

#endif
