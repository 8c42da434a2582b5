#ifndef APPS_TOOL_START_ACCOUNT_HPP
#define APPS_TOOL_START_ACCOUNT_HPP

#include "explain.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace apps::tool
{

/// Adds up, from the log lines of gateway processes, how long after their start
/// they served, and what kept them from it.
class start_account
{
public:
    /// Takes a line with `event=belief`; passes over those of other subjects.
    auto take( log_line const& line ) -> void;

    [[nodiscard]] auto starts() const -> std::int64_t
    {
        return starts_;
    }
    /// Starts that served nothing for the time after which an instance says so,
    /// and of these those that never did.
    [[nodiscard]] auto overdue() const -> std::int64_t
    {
        return overdue_;
    }
    [[nodiscard]] auto never_served() const -> std::int64_t;
    /// Milliseconds from the start to the first served request, sorted.
    [[nodiscard]] auto served_after_ms() const -> std::vector<double>;
    /// Milliseconds from the start by what an instance waited for: of each, the
    /// longest time.
    [[nodiscard]] auto longest_stages_ms() const
        -> std::map<std::string, double> const&
    {
        return longest_stages_ms_;
    }
    /// Requests refused before the first was served, by reason.
    [[nodiscard]] auto refused() const
        -> std::map<std::string, std::int64_t> const&
    {
        return refused_;
    }

private:
    auto take_stages( std::string const& text ) -> void;
    auto take_stage( std::string const& name, std::string const& value )
        -> void;

    std::int64_t starts_{ 0 };
    std::int64_t overdue_{ 0 };
    std::vector<double> served_after_ms_;
    std::map<std::string, double> longest_stages_ms_;
    std::map<std::string, std::int64_t> refused_;
    /// What the overdue instances have refused, until they serve.
    std::map<std::string, std::string> overdue_reasons_;
};

}

#endif
