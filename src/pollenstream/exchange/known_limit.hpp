#ifndef POLLENSTREAM_EXCHANGE_KNOWN_LIMIT_HPP
#define POLLENSTREAM_EXCHANGE_KNOWN_LIMIT_HPP

#include <pollenstream/core/units.hpp>

#include <optional>

namespace pollenstream::exchange
{

/// The rate limit that a target reports in an answer; it holds for all
/// instances together. The target made the report between the two times, which
/// are of this instance's clock.
struct limit_report
{
    /// Requests a second; none where the answer has no limit.
    std::optional<double> per_second;
    core::instant sent_at;  ///< when the request was sent
    core::instant heard_at; ///< when the head of the answer arrived
};

/// What a report changes.
enum class limit_change
{
    none,
    started, ///< there was no limit before
    lowered,
    raised,
    ended,
};

/// The limit that a target is known to have. Answers overlap and reports of
/// other instances arrive late, so the order of two reports may be unknown. A
/// report that is certainly newer replaces the other; otherwise the lower limit
/// holds. An old answer without a limit therefore never ends a limit, and the
/// answer to the next request settles which report is right.
class known_limit
{
public:
    auto note_report( limit_report const& report ) -> limit_change;

    [[nodiscard]] auto per_second() const -> std::optional<double>
    {
        return current_.per_second;
    }
    /// The report in force, with the latest times of all equal reports.
    [[nodiscard]] auto current_report() const -> limit_report const&
    {
        return current_;
    }

private:
    limit_report current_;
};

}

#endif
