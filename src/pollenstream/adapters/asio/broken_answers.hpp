#ifndef POLLENSTREAM_ADAPTERS_ASIO_BROKEN_ANSWERS_HPP
#define POLLENSTREAM_ADAPTERS_ASIO_BROKEN_ANSWERS_HPP

#include <pollenstream/adapters/asio/answer_defect.hpp>
#include <pollenstream/core/address.hpp>
#include <pollenstream/core/counter.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace pollenstream::adapters::asio
{

/// One broken answer, for those of the same defect since the last report.
struct broken_answer_report
{
    core::address from;
    broken_answer what;
    std::uint64_t count{ 0 }; ///< since the last report, with this one
};

/// `report` as words for a log: the defect, the error and the count.
auto describe( broken_answer_report const& report ) -> std::string;

/// Logs broken answers.
class broken_answer_observer
{
public:
    virtual ~broken_answer_observer() = default;
    virtual auto on_broken_answer( broken_answer_report const& report )
        -> void = 0;
};

/// Counts broken answers by their defect, and reports one of each defect a
/// second at most. A connection that ends before the first byte of an answer is
/// none of them.
class broken_answers
{
public:
    auto observe( std::shared_ptr<broken_answer_observer> observer ) -> void;
    auto note( core::address const& from, broken_answer const& what ) -> void;
    /// Thread-safe.
    [[nodiscard]] auto count( answer_defect why ) const -> std::uint64_t;

private:
    struct tally
    {
        core::counter total;
        std::uint64_t reported{ 0 }; ///< of the total
        std::optional<std::chrono::steady_clock::time_point> reported_at;
    };

    static constexpr auto defects =
        static_cast<std::size_t>( answer_defect::number_of_defects );

    std::shared_ptr<broken_answer_observer> observer_;
    std::array<tally, defects> tallies_;
};

}

#endif
