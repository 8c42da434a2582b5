#ifndef POLLENSTREAM_PEERS_PEER_TABLE_HPP
#define POLLENSTREAM_PEERS_PEER_TABLE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Another instance, as far as it has been heard.
struct peer
{
    core::instance_id id;
    core::incarnation incarnation;
    std::string ip;
    core::data_centre_id data_centre;
    std::string callers;
    ports::store_revision known_until;
    core::instant store_answered;     ///< when the store last answered it
    core::duration store_served{ 0 }; ///< without a break, when it was heard
    std::int64_t capacity{ 0 };       ///< thousandths of a core
    core::instant started;
    std::uint64_t rank{ 0 }; ///< same order at every instance
    bool ready{ false };
    bool leaving{ false };
    bool alive{ false };
    core::instant heard;
};

/// What this instance tells of itself.
struct own_state
{
    core::instance_id id;
    core::incarnation incarnation;
    std::string ip;
    core::data_centre_id data_centre;
    std::string callers;
    /// Thousandths of a core that it may use; the strongest place prompts.
    std::int64_t capacity{ 0 };
};

/// What a message has changed.
struct peer_change
{
    bool is_former{ false };    ///< of a process that has ended; nothing taken
    bool is_new{ false };       ///< not known before
    bool is_restarted{ false }; ///< a later process under a known id
    bool is_back{ false };      ///< was taken for silent
    bool begins_to_leave{ false };
};

/// Which instances there are, and in which order they take over duties for all.
///
/// The first few in the order place prompts, read the store and watch over the
/// others. Nobody agrees on it: each instance goes by what it has heard, and
/// two that differ for a moment cost places at engines, never a promise.
class peer_table
{
public:
    using peer_map = std::map<core::instance_id, peer>;

    peer_table( own_state const& self, core::instant now );

    auto take( peer_message const& message, core::instant now ) -> peer_change;
    /// Takes over that another instance has not heard it; false where this one
    /// knows better.
    auto take_silence( silent_instance const& which, core::instant now )
        -> bool;
    /// Those that should have been heard by now; they are left out.
    auto find_silent( core::instant now, core::duration beat )
        -> std::vector<core::instance_id>;
    /// Forgets who has been silent for long; true where there was one.
    auto forget( core::instant now ) -> bool;
    auto set_leaving() -> void
    {
        leaving_ = true;
    }

    [[nodiscard]] auto all() const -> peer_map const&
    {
        return peers_;
    }
    [[nodiscard]] auto find( core::instance_id const& id ) const -> peer const*;
    [[nodiscard]] auto has_ip( std::string const& ip ) const -> bool;
    /// The living instances that have a duty for all, this one included where
    /// it is one of them, in their order.
    [[nodiscard]] auto coordinators( core::instant now ) const
        -> std::vector<core::instance_id>;
    [[nodiscard]] auto is_coordinator( core::instant now ) const -> bool;
    /// Living instances before this one in the order.
    [[nodiscard]] auto number_before( core::instant now ) const -> int;
    /// Shortest time since the store answered another living instance.
    [[nodiscard]] auto youngest_answer( core::instant now ) const
        -> core::duration;

    /// Instances that have a duty for all: one may be frozen, and the next cut
    /// off or lost at the same time.
    static constexpr auto number_of_coordinators = 3;
    /// Time in which others tell each other of themselves, in turn. It mends
    /// what lost datagrams left wrong; at 295 instances it costs 5 a second.
    [[nodiscard]] auto round_time() const -> core::duration;

private:
    /// The strongest go first, and of these an order by chance that all agree
    /// on; whoever has just started goes last, since it knows of no work.
    struct standing
    {
        bool is_young{ false };
        std::int64_t capacity{ 0 };
        std::uint64_t rank{ 0 };
        core::instance_id const* id{ nullptr };
    };
    static auto goes_before( standing const& a, standing const& b ) -> bool;
    [[nodiscard]] auto standing_of( peer const& p, core::instant now ) const
        -> standing;
    [[nodiscard]] auto own_standing( core::instant now ) const -> standing;

    core::instance_id self_;
    std::int64_t capacity_;
    std::uint64_t rank_;
    core::instant started_;
    bool leaving_{ false };
    peer_map peers_;
    /// Since when each has had a duty, as far as this instance knows.
    std::map<core::instance_id, core::instant> on_duty_since_;
};

}

#endif
