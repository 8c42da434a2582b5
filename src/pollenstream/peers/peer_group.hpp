#ifndef POLLENSTREAM_PEERS_PEER_GROUP_HPP
#define POLLENSTREAM_PEERS_PEER_GROUP_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/peers/address_memory.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/peers/peer_table.hpp>
#include <pollenstream/peers/placement_transport.hpp>
#include <pollenstream/ports/repeating_call.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// A target that has announced in an answer to this instance that it leaves.
struct announced_leaving
{
    exchange::target_ref target;
    core::instant at; ///< when the answer came
};

/// Sends datagrams to other instances. Datagrams may be lost.
class datagram_sender
{
public:
    virtual ~datagram_sender() = default;
    virtual auto send( std::string const& ip, std::string const& bytes )
        -> void = 0;
};

/// Counts what this instance has sent to others.
struct sent_counters
{
    core::counter datagrams;
    core::counter bytes;
};

/// The messages between the instances of the system.
///
/// Each instance sends its open work to the few coordinators whenever it
/// changes, and a heartbeat with all of it at regular intervals. The
/// coordinators send their heartbeats, and which instances have become silent,
/// to all. What an instance sends thus grows with its own requests and not with
/// the number of instances. Sending open work to all would take 66 kB a second
/// at each of 295 instances with less than one request a second each.
class peer_group : public exchange::work_announcer, public placement_transport
{
public:
    peer_group( own_state self,
                std::vector<std::string> seed_ips,
                ports::scheduler& scheduler,
                datagram_sender& sender,
                exchange::load_table& loads,
                exchange::crash_history& crashes,
                exchange::event_log& log );

    auto start() -> void;
    auto set_ready( bool ready ) -> void;
    /// Sets whether this instance reaches no target, while others do, and tells
    /// all others immediately.
    auto set_cut_from_targets( bool cut ) -> void;
    [[nodiscard]] auto is_cut_from_targets() const -> bool
    {
        return cut_from_targets_;
    }
    /// Sets when a target last answered this instance.
    auto set_last_target_answer( core::instant at ) -> void
    {
        own_target_answer_at_ = at;
    }
    /// When a target last answered any instance, as far as known here.
    [[nodiscard]] auto fleet_answered_at() const -> core::instant;
    /// Asks all others immediately to send no more callers to this instance.
    auto announce_leaving() -> void;
    /// Sets the last revision that this instance has seen, the time since the
    /// store answered it, and for how long the store has served it without
    /// interruption.
    auto set_store_state( ports::store_revision at,
                          core::duration age,
                          core::duration served_for ) -> void;
    /// Longest time for which the store has served another alive instance
    /// without interruption.
    [[nodiscard]] auto others_served_for() const -> core::duration;
    /// Sends changes of records that this instance has read from the store to
    /// all others. Of changes that are too large for a datagram it tells only
    /// that they exist, so that the others fetch them.
    auto share_update( std::string update ) -> void;
    /// True if this instance is to read the store: it is a coordinator, or
    /// follows in the order and the store has not answered any other instance
    /// lately.
    [[nodiscard]] auto should_read_store() const -> bool;
    /// True if this instance keeps the records of all instances in the store:
    /// it has been the first coordinator that the store serves for some time.
    [[nodiscard]] auto keeps_records() const -> bool;
    /// IP addresses of this instance and the others, without those that leave.
    /// Includes silent ones until they are removed.
    [[nodiscard]] auto instance_ips() const
        -> std::map<core::instance_id, std::string>;
    /// Adds the address of an instance, from the registry or from a peer.
    auto add_ip( std::string const& ip ) -> void;
    /// Adds an address from the settings. It may be stale, so that no budget is
    /// divided with it until an instance is heard there.
    auto add_seed_ip( std::string const& ip ) -> void;

    /// `from_ip`: the address that the datagram came from.
    auto on_datagram( std::string_view bytes, std::string const& from_ip )
        -> void;

    [[nodiscard]] auto peers() const -> peer_table::peer_map const&
    {
        return table_.all();
    }
    /// Sets who handles placement requests, their answers and open work.
    auto set_placement_handler( placement_handler& handler ) -> void
    {
        handler_ = &handler;
    }
    /// Of this process.
    [[nodiscard]] auto incarnation() const -> core::incarnation
    {
        return self_.incarnation;
    }
    /// Number of instances among which budgets are divided, such as that of
    /// retries: this one and all that were heard of in the last minutes. It
    /// also counts instances that are silent or cut off, or whose address is
    /// all that is known.
    [[nodiscard]] auto size() const -> std::size_t;
    /// An alive instance that has seen a later revision of the store than `at`,
    /// chosen anew at each call, none of `except`; null if there is none.
    [[nodiscard]] auto
    better_informed_peer( ports::store_revision at,
                          std::set<core::instance_id> const& except = {} ) const
        -> peer const*;

    /// When this instance first heard that another one had seen a later
    /// revision than the one set here; nullopt if it has caught up since.
    [[nodiscard]] auto behind_since() const -> std::optional<core::instant>
    {
        return behind_since_;
    }

    /// Called when load that other instances caused has ended.
    std::function<void()> on_load_changed;
    /// Called with changes of records that another instance has sent.
    std::function<void( std::string const& from, std::string const& update )>
        on_update;
    /// Called when another instance has lost the path to all targets.
    std::function<void()> on_peer_cut;
    /// Called when `size` has changed.
    std::function<void()> on_size_changed;

    auto work_began( exchange::open_work const& work ) -> void override;
    auto prefill_ended( std::uint64_t serial ) -> void override;
    auto work_ended( std::uint64_t serial, exchange::work_outcome outcome )
        -> void override;
    auto target_failed( exchange::target_ref const& ref,
                        exchange::target_failure how ) -> void override;
    auto target_ejected( exchange::target_ref const& ref, core::duration time )
        -> void override;
    auto target_leaves( exchange::target_ref const& ref ) -> void override;
    auto target_limited( exchange::target_ref const& ref,
                         exchange::limit_change change ) -> void override;
    auto run_crashed( exchange::crashed_run const& what ) -> void override;
    auto suspects_served( exchange::suspect_list const& suspects,
                          bool is_urgent ) -> void override;
    /// If this instance is a coordinator, reports the quarantine to all others.
    auto broadcast_quarantined( exchange::quarantined_group const& group )
        -> void;

    [[nodiscard]] auto coordinators() const
        -> std::vector<core::instance_id> override;
    auto send_request( core::instance_id const& to,
                       exchange::placement_request const& request )
        -> void override;
    auto send_answer( core::instance_id const& to,
                      placement_answer const& answer ) -> void override;
    auto send_release( core::instance_id const& to, std::uint64_t serial )
        -> void override;

    /// Position of this instance among the coordinators, from 0; nothing if it
    /// is none.
    [[nodiscard]] auto coordinator_position() const -> std::optional<int>;

    /// True if this instance is a coordinator and has had the time to hear of
    /// the others.
    [[nodiscard]] auto is_warm_coordinator() const -> bool;

    /// Messages of instances beyond the number that is remembered.
    [[nodiscard]] auto refused_peers() const -> std::uint64_t
    {
        return refused_peers_.value();
    }
    /// Instances that were forgotten to make room for others.
    [[nodiscard]] auto replaced_peers() const -> std::uint64_t
    {
        return replaced_peers_.value();
    }
    /// Memory of what other instances have reported.
    [[nodiscard]] auto reports() -> exchange::report_memory&
    {
        return reports_;
    }
    [[nodiscard]] auto reports() const -> exchange::report_memory const&
    {
        return reports_;
    }
    /// Datagrams and bytes that this instance has sent to others.
    [[nodiscard]] auto sent() const -> sent_counters const&
    {
        return sent_;
    }

private:
    auto broadcast_state() -> void;
    auto base_message() const -> peer_message;
    auto state_message() const -> peer_message;
    auto relayed_message( peer const& p ) const -> peer_message;
    auto complete_message() -> peer_message;
    auto message_for_new_coordinator() -> peer_message;
    auto send( std::string const& ip, std::string const& bytes ) -> void;
    auto send_to_peer( core::instance_id const& to,
                       peer_message const& message ) -> void;
    auto send_to_all( peer_message const& message ) -> void;
    auto send_to_coordinators( peer_message const& message ) -> void;
    auto arm_flush() -> void;
    auto flush() -> void;
    auto send_heartbeat() -> void;
    auto heartbeat_period() const -> core::duration;
    auto send_to_next_in_round() -> void;
    [[nodiscard]] auto store_read_delay() const -> core::duration;
    [[nodiscard]] auto is_first_served() const -> bool;
    auto update_keeper() -> void;
    auto inform_new_coordinators() -> void;
    auto check_silent_peers() -> void;
    auto handle_lost_peer( core::instance_id const& id, std::string reason )
        -> void;
    auto apply_sender_state( peer_message const& message,
                             std::string const& from_ip ) -> bool;
    auto apply_silent_reports( peer_message const& message ) -> void;
    auto apply_crashes( peer_message const& message ) -> void;
    auto apply_cleared( peer_message const& message ) -> void;
    auto apply_quarantines( peer_message const& message ) -> void;
    [[nodiscard]] auto is_from_coordinator( peer_message const& message ) const
        -> bool;
    auto add_quarantines( peer_message& message ) -> void;
    auto apply_failures( peer_message const& message ) -> void;
    auto apply_leaving_targets( peer_message const& message ) -> void;
    auto apply_limits( peer_message const& message ) -> void;
    [[nodiscard]] auto limit_to_send( exchange::target_ref const& ref ) const
        -> limit_update;
    auto send_limit_to_coordinators( exchange::target_ref const& ref ) -> void;
    auto add_limits( peer_message& message ) -> void;
    auto update_limit_shares() -> void;
    [[nodiscard]] auto crash_to_send( exchange::crashed_run const& what ) const
        -> crash_update;
    [[nodiscard]] auto
    quarantine_to_send( exchange::quarantined_group const& group ) const
        -> quarantine_update;
    auto add_target_updates( peer_message& message ) -> void;
    auto dispatch_placement_requests( peer_message& message ) -> void;
    auto apply_work( peer_message const& message ) -> void;
    auto release( core::instance_id const& owner, std::uint64_t serial )
        -> void;
    auto reconcile_open_work( peer_message const& message ) -> bool;
    auto remember_address( std::string const& ip ) -> void;
    auto note_refused_peer( peer_message const& message ) -> void;
    auto note_replaced_peer( core::instance_id const& id ) -> void;
    auto note_reports_give_way( core::instance_id const& id ) -> void;
    auto forget_reports( core::instance_id const& id ) -> void;
    auto add_work( core::instance_id const& owner,
                   exchange::open_work const& work ) -> void;
    auto next_gossip_ips() -> std::vector<std::string>;
    [[nodiscard]] auto silent_to_report() const -> std::vector<silent_instance>;
    auto addresses() const -> std::vector<std::string>;
    auto log_peer_state( peer const& which,
                         std::string state,
                         std::string reason ) -> void;

    own_state self_;
    std::vector<std::string> seed_ips_;
    ports::scheduler& scheduler_;
    datagram_sender& sender_;
    exchange::load_table& load_table_;
    exchange::crash_history& crashes_;
    exchange::event_log& log_;
    placement_handler* handler_{ nullptr };

    peer_table table_;
    address_memory known_addresses_; ///< of all other instances
    core::instant started_;
    /// Addresses without a known instance, with when each was last added.
    std::map<std::string, core::instant> unconfirmed_ips_;
    bool ready_{ false };
    bool leaving_{ false };
    bool cut_from_targets_{ false };
    core::instant own_target_answer_at_;
    bool greets_new_ips_{ false };    ///< sends to each new address at once
    bool broadcast_pending_{ false }; ///< the next flush also goes to all
    ports::store_revision known_until_;
    ports::store_revision latest_heard_; ///< from any other instance
    std::optional<core::instant> behind_since_;
    core::duration store_age_{ 0 };
    core::duration store_served_for_{ 0 };
    /// Since when this instance is the first coordinator that the store serves.
    std::optional<core::instant> first_served_since_;
    peer_message pending_; ///< changes for the next flush
    /// Crashes that this instance has seen recently. Complete messages repeat
    /// them, since datagrams may be lost.
    std::vector<exchange::crashed_run> own_crashes_;
    std::vector<announced_leaving> own_leaving_targets_; ///< also repeated
    std::size_t next_limit_{ 0 }; ///< first limit of the next complete message
    /// First quarantine of the next complete message.
    std::size_t next_quarantine_{ 0 };
    /// Coordinators that have been sent all open work.
    std::vector<core::instance_id> informed_coordinators_;
    std::size_t next_gossip_ip_{ 0 };
    std::size_t next_round_peer_{ 0 };
    mutable std::uint64_t peer_choices_{ 0 }; ///< by `better_informed_peer`
    sent_counters sent_;
    core::counter refused_peers_;
    core::counter replaced_peers_;
    exchange::report_memory reports_;
    std::unique_ptr<ports::scheduled_call> flush_call_;
    ports::repeating_call heartbeats_;
    std::vector<std::unique_ptr<ports::scheduled_call>> retransmissions_;
};

}

#endif
