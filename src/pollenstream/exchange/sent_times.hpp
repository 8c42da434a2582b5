#ifndef POLLENSTREAM_EXCHANGE_SENT_TIMES_HPP
#define POLLENSTREAM_EXCHANGE_SENT_TIMES_HPP

#include <pollenstream/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace pollenstream::exchange
{

/// Times of the latest requests to one target, sent by all instances as far as
/// this one knows.
class sent_times
{
public:
    /// A target's limit is enforced over this time; requests sent earlier do
    /// not count.
    static constexpr auto window = core::duration( std::chrono::seconds( 4 ) );
    static constexpr auto max_kept = std::size_t{ 1'024 };

    /// Times may come late and out of order, as updates of other instances do.
    auto add( core::instant at ) -> void;
    [[nodiscard]] auto last() const -> std::optional<core::instant>;
    /// The times in the window that ends at `now`, and their number.
    [[nodiscard]] auto within( core::instant now ) const
        -> std::vector<core::instant>;
    [[nodiscard]] auto count_within( core::instant now ) const -> std::size_t;
    /// Earliest time at which fewer than `count` times are in the window;
    /// `count` is at least 1.
    [[nodiscard]] auto time_with_fewer_than( std::size_t count ) const
        -> core::instant;

private:
    [[nodiscard]] auto first_within( core::instant now ) const
        -> std::deque<core::instant>::const_iterator;

    std::deque<core::instant> times_; ///< sorted
};

}

#endif
