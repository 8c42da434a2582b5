#ifndef POLLENSTREAM_MEMBERSHIP_MEMBER_TABLE_HPP
#define POLLENSTREAM_MEMBERSHIP_MEMBER_TABLE_HPP

#include <pollenstream/core/counter.hpp>
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

/// All instances of the fleet as this one knows them, kept by gossip as in
/// SWIM.
///
/// The platform's list only names the instances; their state comes from
/// heartbeats. Each second an instance exchanges heartbeats with a few peers
/// drawn at random and includes recent changes, so that the traffic of one
/// instance does not grow with the fleet. An instance that does not reply
/// becomes suspect. It refutes this by raising its version; otherwise it is
/// gone after a timeout.
class member_table
{
public:
    member_table( member self, std::uint64_t seed );

    /// Adds the instances of the platform's list that this table lacks, as
    /// alive, or as leaving where the list says so. The list never changes a
    /// known instance: one that is gone returns only by its own heartbeat.
    auto add_listed( std::vector<ports::listed_instance> const& listed,
                     core::instant now ) -> void;

    /// Merges an update about any instance. An update that has this instance in
    /// another phase than its own is refuted. Where as many instances as can be
    /// are known, one that is not known takes the place of the one that has
    /// been gone for the longest time, or is left out.
    auto merge( member const& update, core::instant now ) -> void;

    /// Notes that `id` did not reply: an alive instance becomes suspect, a
    /// leaving one gone.
    auto note_unreachable( core::instance_id const& id, core::instant now )
        -> void;
    /// Marks suspects that did not refute in time as gone, and removes the
    /// instances that have been gone for long.
    auto expire( core::instant now ) -> void;

    /// Marks this instance as leaving, which later heartbeats announce.
    auto leave( core::instant now ) -> void;
    auto set_open_requests( std::int64_t count ) -> void;

    /// Up to `count` other instances that are not gone, drawn at random.
    auto pick_peers( std::size_t count ) -> std::vector<member>;
    /// An instance considered gone, drawn at random, or nothing.
    auto pick_gone() -> std::optional<member>;
    /// Up to `max_count` members with transmissions left, those with the most
    /// left first, and counts one transmission of each.
    auto take_changes( std::size_t max_count ) -> std::vector<member>;

    /// Updates about unknown instances that were left out.
    [[nodiscard]] auto left_out() const -> std::uint64_t
    {
        return left_out_.value();
    }
    [[nodiscard]] auto self() const -> member;
    [[nodiscard]] auto find( core::instance_id const& id ) const
        -> std::optional<member>;
    [[nodiscard]] auto all() const -> std::vector<member>;
    /// Instances that callers may be sent to; includes this one unless it is
    /// leaving.
    [[nodiscard]] auto alive() const -> std::vector<member>;

private:
    struct record
    {
        member latest;
        core::instant phase_since;
        int transmissions_left{ 0 }; ///< heartbeats that still carry `latest`
    };

    auto store( member const& update, core::instant now ) -> void;
    /// False if there is no place for another instance.
    auto make_room() -> bool;
    auto refute( member const& update, core::instant now ) -> void;
    /// Number of heartbeats that carry one update.
    auto transmission_limit() const -> int;

    mutable std::mutex mutex_;
    core::instance_id self_;
    std::map<core::instance_id, record> records_;
    std::mt19937_64 random_;
    core::counter left_out_;
};

}

#endif
