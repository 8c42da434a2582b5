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

/// When requests were lately sent to one target, by all instances as far as
/// this one knows.
class sent_times
{
public:
    /// Over which a target's limit is kept: what was sent earlier has no
    /// bearing on it.
    static constexpr auto window = core::duration( std::chrono::seconds( 4 ) );
    static constexpr auto max_kept = std::size_t{ 1'024 };

    /// News of others come late, and not in order.
    auto add( core::instant at ) -> void;
    [[nodiscard]] auto last() const -> std::optional<core::instant>;
    /// Those in the window that ends now, and their number.
    [[nodiscard]] auto within( core::instant now ) const
        -> std::vector<core::instant>;
    [[nodiscard]] auto count_within( core::instant now ) const -> std::size_t;
    /// When fewer than `most`, which is at least one, are in the window.
    [[nodiscard]] auto fewer_than( std::size_t most ) const -> core::instant;

private:
    [[nodiscard]] auto first_within( core::instant now ) const
        -> std::deque<core::instant>::const_iterator;

    std::deque<core::instant> times_; ///< in order
};

}

#endif
