#ifndef POLLENSTREAM_PEERS_PEER_GROUP_HPP
#define POLLENSTREAM_PEERS_PEER_GROUP_HPP

#include <pollenstream/core/counter.hpp>
#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/peers/peer_table.hpp>
#include <pollenstream/peers/placement_transport.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// A target whose answer to this instance said that it leaves.
struct announced_leaving
{
    exchange::target_ref target;
    core::instant at;
};

/// Sends datagrams to other instances; some may be lost.
class datagram_sender
{
public:
    virtual ~datagram_sender() = default;
    virtual auto send( std::string const& ip, std::string const& bytes )
        -> void = 0;
};

/// What this instance has sent to others.
struct sent_counters
{
    core::counter datagrams;
    core::counter bytes;
};

/// The instances of the system. Each tells a few, the coordinators, of its open
/// work as it changes, and at regular times that it lives; the coordinators
/// tell all others that they live, and who is not heard any more. What each
/// sends grows with its own requests and not with the number of instances: told
/// to all, open work took 66 kB a second of each of 295 instances, for less
/// than one request a second each (a calm day of a played deployment).
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
    /// Tells all others at once that no caller should be sent here.
    auto announce_leaving() -> void;
    /// What this instance knows of the store, and when that answered it.
    auto set_store_state( ports::store_revision at,
                          core::duration age,
                          core::duration served_for ) -> void;
    /// Longest time for which the store has served another living instance
    /// without a break.
    [[nodiscard]] auto others_served_for() const -> core::duration;
    /// Tells all others of changes that the store told this instance.
    auto tell_update( std::string update ) -> void;
    /// True where this instance is one of those that read the store: one of
    /// the first few in an order that all agree on, or one of the next where
    /// the store has not answered these lately.
    [[nodiscard]] auto should_read_store() const -> bool;
    /// An instance that the registry names.
    auto add_ip( std::string const& ip ) -> void;

    auto on_datagram( std::string_view bytes ) -> void;

    [[nodiscard]] auto peers() const -> peer_table::peer_map const&
    {
        return table_.all();
    }
    /// Who is told of asks for targets, of answers and of open work.
    auto set_ask_handler( placement_handler& handler ) -> void
    {
        handler_ = &handler;
    }
    /// Instances that share budgets: this one and all heard lately.
    [[nodiscard]] auto size() const -> std::size_t;
    /// One of the living instances that know more of the store than `at`,
    /// another one at each call; null where there is none.
    [[nodiscard]] auto better_informed( ports::store_revision at ) const
        -> peer const*;

    /// Called when load that others caused has gone.
    std::function<void()> on_load_changed;
    /// Called with changes of records that another instance tells of.
    std::function<void( std::string const& from, std::string const& update )>
        on_update;
    /// Called when the number of instances has changed.
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
    auto suspect_served( exchange::content_id content ) -> void override;
    /// Where this instance has a duty for all: tells all others which targets
    /// have ended by runs of the content.
    auto tell_quarantined( exchange::content_id content ) -> void;

    [[nodiscard]] auto coordinators() const
        -> std::vector<core::instance_id> override;
    auto send_request( core::instance_id const& to,
                       exchange::placement_request const& request )
        -> void override;
    auto send_answer( core::instance_id const& to,
                      placement_answer const& answer ) -> void override;
    auto send_release( core::instance_id const& to, std::uint64_t serial )
        -> void override;

    /// This instance's place among the coordinators, from 0.
    [[nodiscard]] auto own_duty() const -> std::optional<int>;

    /// Datagrams and bytes that this instance has sent to others.
    [[nodiscard]] auto sent() const -> sent_counters const&
    {
        return sent_;
    }

private:
    auto base_message() const -> peer_message;
    auto relay_of( peer const& p ) const -> peer_message;
    auto complete_message() -> peer_message;
    auto message_for_new_coordinator() -> peer_message;
    auto send( std::string const& ip, std::string const& bytes ) -> void;
    auto send_to_peer( core::instance_id const& to,
                       peer_message const& message ) -> void;
    auto send_to_all( peer_message const& message ) -> void;
    auto send_to_coordinators( peer_message const& message ) -> void;
    auto arm_flush() -> void;
    auto flush() -> void;
    auto beat() -> void;
    auto beat_period() const -> core::duration;
    auto tell_in_turn() -> void;
    [[nodiscard]] auto time_to_settle() const -> core::duration;
    auto tell_new_coordinators() -> void;
    auto check_silent() -> void;
    auto lose( core::instance_id const& id, std::string because ) -> void;
    auto take_sender( peer_message const& message ) -> bool;
    auto take_silent( peer_message const& message ) -> void;
    auto take_crashes( peer_message const& message ) -> void;
    auto take_leaving( peer_message const& message ) -> void;
    auto take_limits( peer_message const& message ) -> void;
    [[nodiscard]] auto told( exchange::target_ref const& ref ) const
        -> limit_update;
    auto tell_coordinators( exchange::target_ref const& ref ) -> void;
    auto add_limits( peer_message& message ) -> void;
    auto share_limits() -> void;
    [[nodiscard]] auto told( exchange::crashed_run const& what ) const
        -> crash_update;
    auto add_target_news( peer_message& message ) -> void;
    auto take_placement_requests( peer_message& message ) -> void;
    auto take_work( peer_message const& message ) -> void;
    auto release( core::instance_id const& owner, std::uint64_t serial )
        -> void;
    auto take_open( peer_message const& message ) -> bool;
    auto some_ips() -> std::vector<std::string>;
    auto addresses() const -> std::vector<std::string>;
    auto note( peer const& which, std::string now, std::string because )
        -> void;

    own_state self_;
    std::vector<std::string> seed_ips_;
    ports::scheduler& scheduler_;
    datagram_sender& sender_;
    exchange::load_table& load_table_;
    exchange::crash_history& crashes_;
    exchange::event_log& log_;
    placement_handler* handler_{ nullptr };

    peer_table table_;
    core::instant started_;
    std::map<std::string, core::instant> extra_ips_;
    bool ready_{ false };
    bool leaving_{ false };
    bool tells_new_ips_{ false };
    bool tell_all_{ false }; ///< the next change goes to all
    ports::store_revision known_until_;
    core::duration store_age_{ 0 };
    core::duration store_served_{ 0 };
    peer_message pending_;
    /// Seen here lately; repeated, since each may be lost.
    std::vector<exchange::crashed_run> own_crashes_;
    std::vector<announced_leaving> own_leaving_; ///< the same
    std::size_t next_limit_{ 0 };         ///< to tell, of all that are known
    std::vector<core::instance_id> told_; ///< coordinators with all open work
    std::size_t next_ip_{ 0 };
    std::size_t next_in_turn_{ 0 };
    mutable std::uint64_t asked_{ 0 };
    sent_counters sent_;
    std::unique_ptr<ports::scheduled_call> flush_call_;
    std::unique_ptr<ports::scheduled_call> beat_call_;
    std::vector<std::unique_ptr<ports::scheduled_call>> repeats_;
};

}

#endif
