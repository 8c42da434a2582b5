#ifndef POLLENSTREAM_PEERS_PEER_TABLE_HPP
#define POLLENSTREAM_PEERS_PEER_TABLE_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/core/units.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// The known state of another instance, from its messages.
struct peer
{
    core::instance_id id;
    core::incarnation incarnation;
    std::string ip;
    core::data_centre_id data_centre;
    std::string callers;               ///< where callers connect
    core::handover_key handover_key;   ///< with it, it takes requests over
    ports::store_revision known_until; ///< last revision that it has seen
    core::instant store_answered_at;   ///< when the store last answered it
    /// Time for which the store had served it without interruption, as of its
    /// last message.
    core::duration store_served_for{ 0 };
    std::int64_t capacity{ 0 }; ///< in thousandths of a core
    core::instant started;
    std::uint64_t rank{ 0 };        ///< hash of the id, equal at every instance
    bool ready{ false };            ///< callers may be sent to it
    bool leaving{ false };          ///< in a planned stop
    bool cut_from_targets{ false }; ///< reaches no target
    /// When a target last answered any instance, as known to this peer.
    core::instant target_answered_at;
    bool alive{ false }; ///< not silent
    /// Heard from its own address, as the latest instance there. Whoever
    /// reaches the port for datagrams can name others.
    bool confirmed{ false };
    core::instant last_heard;
};

/// The state of this instance that its messages carry.
struct own_state
{
    core::instance_id id;
    core::incarnation incarnation;
    std::string ip;
    core::data_centre_id data_centre;
    std::string callers; ///< where callers connect
    /// Thousandths of a core that it may use. Instances with the most capacity
    /// become coordinators.
    std::int64_t capacity{ 0 };
    /// With it, this process takes requests over from other instances.
    core::handover_key handover_key;
};

/// How a message came from the instance that it names as its sender.
enum class message_path
{
    direct, ///< from the address of the instance
    relayed,
};

/// Changes to a peer that a message has caused.
struct peer_change
{
    bool is_stale{ false };      ///< from an earlier process; not applied
    bool is_refused{ false };    ///< of one instance too many; not applied
    bool is_new{ false };        ///< not known before
    bool is_restarted{ false };  ///< a later process under a known id
    bool has_recovered{ false }; ///< was marked as silent
    bool starts_leaving{ false };
    bool is_cut_now{ false }; ///< it has lost the path to all targets
    /// The instance that was removed to make room for the sender.
    std::optional<core::instance_id> replaced;
};

/// The other instances, and the order in which instances become coordinators.
///
/// The first few in the order are the coordinators: they place prompts, read
/// the store and report silent instances to all others. There is no consensus:
/// each instance computes the order from the messages it has received. While
/// two instances differ, prompts may be placed on engines less well, but no
/// guarantee depends on their agreement.
class peer_table
{
public:
    using peer_map = std::map<core::instance_id, peer>;

    peer_table( own_state const& self, core::instant now );

    auto apply_message( peer_message const& message,
                        message_path path,
                        core::instant now ) -> peer_change;
    /// Marks a peer as silent because another instance reports it. Returns
    /// false where nothing changes: the peer is unknown, already silent,
    /// restarted, or was heard directly a moment ago.
    auto apply_silent_report( silent_instance const& which, core::instant now )
        -> bool;
    /// Marks the peers whose messages are overdue as silent and returns them.
    auto detect_silent_peers( core::instant now,
                              core::duration heartbeat_period )
        -> std::vector<core::instance_id>;
    /// Removes peers that have been silent for long.
    auto remove_long_silent( core::instant now ) -> void;
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
    /// The coordinators in their order. May include this instance; instances
    /// that are silent or leaving are none.
    [[nodiscard]] auto coordinators( core::instant now ) const
        -> std::vector<core::instance_id>;
    [[nodiscard]] auto is_coordinator( core::instant now ) const -> bool;
    /// Number of alive instances before this one in the order.
    [[nodiscard]] auto own_position( core::instant now ) const -> int;
    /// True once this instance has run so long that the others have sent it
    /// their open work.
    [[nodiscard]] auto has_warmed_up( core::instant now ) const -> bool;
    /// Shortest time since the store answered another alive instance.
    [[nodiscard]] auto min_store_age( core::instant now ) const
        -> core::duration;

    /// Three, so that one is left if one is frozen and another is cut off or
    /// lost at the same time.
    static constexpr auto number_of_coordinators = 3;
    /// Period in which a non-coordinator sends its state once to every other
    /// instance, in turn, to repair what lost datagrams left wrong. It grows
    /// with the number of instances, so that the cost stays at 5 datagrams a
    /// second, also with 295 instances.
    [[nodiscard]] auto round_time() const -> core::duration;

private:
    /// Removes the peer that is not confirmed and has not been heard for the
    /// longest time, and returns it.
    auto remove_unconfirmed() -> std::optional<core::instance_id>;
    /// An address has one instance: others there are confirmed no longer.
    auto confirm( peer& which ) -> void;

    /// Position of an instance in the order: the highest capacity first, then
    /// by a hash of the id, which is the same at every instance. An instance
    /// that has just started comes last, since it does not know the open work.
    struct precedence
    {
        bool is_warming_up{ false };
        std::int64_t capacity{ 0 };
        std::uint64_t rank{ 0 };
        core::instance_id const* id{ nullptr };
    };
    static auto precedes( precedence const& a, precedence const& b ) -> bool;
    [[nodiscard]] auto precedence_of( peer const& p, core::instant now ) const
        -> precedence;
    [[nodiscard]] auto own_precedence( core::instant now ) const -> precedence;

    core::instance_id self_;
    std::int64_t capacity_;
    std::uint64_t rank_;
    core::instant started_;
    bool leaving_{ false };
    peer_map peers_;
    /// Since when this instance has counted each coordinator as one.
    std::map<core::instance_id, core::instant> coordinator_since_;
};

}

#endif
