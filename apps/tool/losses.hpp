#ifndef APPS_TOOL_LOSSES_HPP
#define APPS_TOOL_LOSSES_HPP

#include "explain.hpp"
#include "loss_cause.hpp"
#include "loss_groups.hpp"
#include "start_account.hpp"
#include <pollenstream/metrics/distribution.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace apps::tool
{

/// Adds up what became of requests, from log lines in any order of instances.
/// Keeps the requests that are open and drops the oldest where they are too
/// many, so that its memory is bounded.
class loss_account
{
public:
    /// Takes one line; what is no line of a gateway is counted and passed over.
    auto take( std::string const& text ) -> void;
    /// Takes what has no end as not finished. Nothing may be taken after it.
    auto finish() -> void;

    [[nodiscard]] auto by_cause() const -> cause_sums const&
    {
        return by_cause_;
    }
    [[nodiscard]] auto of( loss_cause cause ) const -> loss_sum const&
    {
        return by_cause_.at( static_cast<std::size_t>( cause ) );
    }
    /// Requests with a prompt of a size class or plain calls, all and lost.
    struct size_row
    {
        std::string name;
        loss_sum all;
        loss_sum lost;
        /// Milliseconds by which first events came later than was predicted
        /// when targets were chosen; below zero where they came sooner.
        std::shared_ptr<pollenstream::metrics::distribution> later_than_told;
    };
    [[nodiscard]] auto by_size() const -> std::vector<size_row> const&
    {
        return by_size_;
    }
    [[nodiscard]] auto lost() const -> loss_sum;
    /// Share of the lost weight that has a cause; 1 where nothing is lost.
    [[nodiscard]] auto explained_share() const -> double;
    [[nodiscard]] auto requests() const -> std::int64_t
    {
        return requests_;
    }
    /// Lines that are none of a gateway's, or lack what they should have.
    [[nodiscard]] auto unreadable() const -> std::int64_t
    {
        return unreadable_;
    }

    /// Of the processes whose lines were taken.
    [[nodiscard]] auto starts() const -> start_account const&
    {
        return starts_;
    }

    /// Sums by the key; empty if no key was given.
    [[nodiscard]] auto groups() const -> loss_groups const&
    {
        return groups_;
    }

    /// Sums are also grouped by `key` if one is given.
    explicit loss_account( std::optional<loss_key> key = std::nullopt );

private:
    /// What the lines of one request have said so far.
    struct story
    {
        std::uint64_t number{ 0 }; ///< in the order in which they were begun
        double prompt{ 0 };
        std::optional<double> waited_ms;
        std::optional<double> predicted_ms;
        std::optional<double> asked_ms;
        double limit_ms{ 0 };              ///< waited for a target's limit
        std::optional<loss_cause> failure; ///< of its last attempt
        /// Value of the key; empty if no line has had it.
        std::optional<std::string> group;
    };

    auto open( std::string const& id ) -> story&;
    auto take_end( log_line const& line, std::string const& id ) -> void;
    static auto cause_of_late( story const& told,
                               double reached,
                               double objective ) -> loss_cause;
    auto note_group( log_line const& line, story& told ) const -> void;
    auto count( story const& told, std::optional<loss_cause> lost ) -> void;
    auto row_of( double prompt ) -> size_row&;

    cause_sums by_cause_{};
    std::optional<loss_key> key_;
    loss_groups groups_;
    start_account starts_;
    std::vector<size_row> by_size_;
    std::unordered_map<std::string, story> open_;
    std::uint64_t last_number_{ 0 };
    std::int64_t requests_{ 0 };
    std::int64_t unreadable_{ 0 };
};

/// `losses [--by=KEY] [--json] [FILE...]`; reads standard input where no file
/// is named. `key` is empty where it is not given. Returns the exit status: 0
/// done, 1 a file unreadable or the key unknown.
auto run_losses( std::vector<std::string> const& files,
                 std::string const& key,
                 bool as_json ) -> int;

}

#endif
