#ifndef POLLENSTREAM_MEMBERSHIP_MEMBER_TABLE_HPP
#define POLLENSTREAM_MEMBERSHIP_MEMBER_TABLE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/membership/member.hpp>
#include <pollenstream/ports/instance_list.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

namespace pollenstream::membership
{

/// All instances of the fleet as this one knows them.
///
/// The platform's list gives names; exchanges between instances give the
/// truth. Each second an instance exchanges heartbeats with a few others drawn
/// at random, and passes on what changed lately, so that the traffic of one
/// instance does not grow with the fleet. An instance that does not answer is
/// suspected; it refutes by raising its version, and is gone if it does not.
class member_table
{
public:
    member_table( member self, std::uint64_t seed );

    /// Takes over names that the platform lists and this table lacks. They
    /// are alive until an exchange says otherwise. Entries of the list whose
    /// place in the table is gone come back only by their own word.
    auto learn_listed( std::vector<ports::listed_instance> const& listed,
                       core::instant now ) -> void;

    /// Merges news of any instance. News that this instance itself is suspect
    /// or gone is refuted.
    auto merge( member const& news, core::instant now ) -> void;

    /// Notes that `id` did not answer.
    auto note_silence( core::instance_id const& id, core::instant now ) -> void;
    /// Turns suspects that did not refute into gone ones, and forgets those
    /// that are gone for long.
    auto expire( core::instant now ) -> void;

    /// Says in all later exchanges that this instance is leaving.
    auto leave( core::instant now ) -> void;
    auto set_open_requests( std::int64_t count ) -> void;

    /// Up to `count` others to exchange heartbeats with.
    auto pick_peers( std::size_t count ) -> std::vector<member>;
    /// One instance that is held for gone, drawn at random, or nothing.
    auto pick_gone() -> std::optional<member>;
    /// News that has not been passed on often enough yet.
    auto take_changes( std::size_t most ) -> std::vector<member>;

    [[nodiscard]] auto self() const -> member;
    [[nodiscard]] auto find( core::instance_id const& id ) const
        -> std::optional<member>;
    [[nodiscard]] auto all() const -> std::vector<member>;
    /// Instances that callers may be sent to.
    [[nodiscard]] auto alive() const -> std::vector<member>;

private:
    struct record
    {
        member what;
        core::instant since;  ///< of the present phase
        int passes_left{ 0 }; ///< how often to pass this on still
    };

    auto store( member const& news, core::instant now ) -> void;
    auto refute( member const& news, core::instant now ) -> void;
    auto passes() const -> int;

    mutable std::mutex mutex_;
    core::instance_id self_;
    std::map<core::instance_id, record> records_;
    std::mt19937_64 random_;
};

}

#endif
