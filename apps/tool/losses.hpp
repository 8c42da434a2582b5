#ifndef APPS_TOOL_LOSSES_HPP
#define APPS_TOOL_LOSSES_HPP

#include "explain.hpp"
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

/// Why a request was late, refused or failed. Each lost request has one cause,
/// the first of these that its lines show.
enum class loss_cause : std::uint8_t
{
    no_configuration,  ///< its instance did not have one yet
    stopping,          ///< its instance was about to stop
    not_finished,      ///< no line ends it: its instance was lost or frozen
    target_failed,     ///< a target answered with a failure
    target_lost,       ///< a target or a connection to one broke
    target_silent,     ///< a target said nothing for too long
    turned_away,       ///< targets did not take it
    memory_not_there,  ///< a reservation was refused
    no_room,           ///< it found no targets while its caller waited
    target_limit,      ///< targets had got as much as they take
    place_drained,     ///< all its targets were in drained data centres
    late_ask,          ///< the answer to its ask for targets took long
    late_by_waiting,   ///< it waited for room, and was then read as predicted
    late_as_predicted, ///< the choice itself said that it would be late
    slower_than_told,  ///< its first event came later than predicted
    long_pause,        ///< a pause between its events was too long
    late_call,         ///< a plain call took longer than its objective
    unknown,
    number_of_causes,
};

/// Stable name of `cause`, as the table prints it.
auto name_of( loss_cause cause ) -> char const*;

/// Lost requests of one kind.
struct loss_sum
{
    std::int64_t requests{ 0 };
    double weight{ 0 }; ///< by size, as placing values them
};

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

    loss_account();

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
    };

    auto open( std::string const& id ) -> story&;
    auto take_end( log_line const& line, std::string const& id ) -> void;
    auto count( double prompt, std::optional<loss_cause> lost ) -> void;
    auto row_of( double prompt ) -> size_row&;

    std::array<loss_sum,
               static_cast<std::size_t>( loss_cause::number_of_causes )>
        by_cause_{};
    std::vector<size_row> by_size_;
    std::unordered_map<std::string, story> open_;
    std::uint64_t last_number_{ 0 };
    std::int64_t requests_{ 0 };
    std::int64_t unreadable_{ 0 };
};

/// `losses [--json] [FILE...]`; reads standard input where no file is named.
/// Returns the exit status: 0 done, 1 a file unreadable.
auto run_losses( std::vector<std::string> const& files, bool as_json ) -> int;

}

#endif
