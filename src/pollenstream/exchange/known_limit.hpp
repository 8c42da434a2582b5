#ifndef POLLENSTREAM_EXCHANGE_KNOWN_LIMIT_HPP
#define POLLENSTREAM_EXCHANGE_KNOWN_LIMIT_HPP

#include <pollenstream/core/units.hpp>

#include <optional>

namespace pollenstream::exchange
{

/// What one answer says of the requests that its target takes from all
/// instances together. The target said it between the two times, which are of
/// this instance's clock.
struct limit_report
{
    /// Requests a second; nothing where the answer names no limit.
    std::optional<double> per_second;
    core::instant sent_at;  ///< of the request
    core::instant heard_at; ///< of the answer's head
};

/// What a statement has changed.
enum class limit_change
{
    none,
    named, ///< there was none
    lowered,
    raised,
    ended,
};

/// The limit that a target is believed to have. Answers overlap, and other
/// instances tell of theirs later: a statement counts against another one only
/// where it is certain to be younger. Of two that may have been made in either
/// order the lower limit holds, so that an old answer without a limit never
/// ends one, and the next request settles it.
class known_limit
{
public:
    auto take( limit_report const& what ) -> limit_change;

    [[nodiscard]] auto per_second() const -> std::optional<double>
    {
        return held_.per_second;
    }
    /// The statement that holds, its times widened by others that agree.
    [[nodiscard]] auto held() const -> limit_report const&
    {
        return held_;
    }

private:
    limit_report held_;
};

}

#endif
