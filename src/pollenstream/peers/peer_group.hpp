#ifndef POLLENSTREAM_PEERS_PEER_GROUP_HPP
#define POLLENSTREAM_PEERS_PEER_GROUP_HPP

#include <pollenstream/exchange/context.hpp>
#include <pollenstream/exchange/event_log.hpp>
#include <pollenstream/exchange/target_board.hpp>
#include <pollenstream/peers/peer_message.hpp>
#include <pollenstream/ports/scheduler.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstream::peers
{

/// Sends datagrams to other instances; some may be lost.
class datagram_sender
{
public:
    virtual ~datagram_sender() = default;
    virtual auto send( std::string const& ip, std::string const& bytes )
        -> void = 0;
};

/// Another instance, as far as it has been heard.
struct peer
{
    core::instance_id id;
    core::incarnation incarnation;
    std::string ip;
    core::place_id place;
    std::string callers;
    ports::store_revision known_until;
    core::instant store_answered;     ///< when the store last answered it
    core::duration store_served{ 0 }; ///< without a break, when it was heard
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
    core::place_id place;
    std::string callers;
};

/// The instances of the system, each of which tells all others of its open
/// work as it changes, and at regular times that it lives. There is no
/// leader: an instance that is not heard is left out.
class peer_group : public exchange::work_announcer
{
public:
    peer_group( own_state self,
                std::vector<std::string> seed_ips,
                ports::scheduler& scheduler,
                datagram_sender& sender,
                exchange::target_board& board,
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

    [[nodiscard]] auto peers() const -> std::map<core::instance_id, peer> const&
    {
        return peers_;
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
    auto reading_ended( std::uint64_t serial ) -> void override;
    auto work_ended( std::uint64_t serial ) -> void override;
    auto waiting_changed() -> void override;
    auto target_shunned( exchange::target_ref const& ref, core::duration time )
        -> void override;

private:
    auto base_message() const -> peer_message;
    auto send_to_all( peer_message const& message ) -> void;
    auto arm_flush() -> void;
    auto flush() -> void;
    auto complete_message() -> peer_message;
    auto send_complete_to( std::string const& ip ) -> void;
    auto beat() -> void;
    auto beat_period() const -> core::duration;
    auto check_silent() -> void;
    auto take_sender( peer_message const& message ) -> bool;
    auto take_work( peer_message const& message ) -> void;
    auto some_ips() -> std::vector<std::string>;
    auto addresses() const -> std::vector<std::string>;
    auto note( peer const& which, std::string now, std::string because )
        -> void;

    own_state self_;
    std::vector<std::string> seed_ips_;
    ports::scheduler& scheduler_;
    datagram_sender& sender_;
    exchange::target_board& board_;
    exchange::event_log& log_;

    std::map<core::instance_id, peer> peers_;
    std::map<std::string, core::instant> extra_ips_;
    bool ready_{ false };
    bool leaving_{ false };
    ports::store_revision known_until_;
    core::duration store_age_{ 0 };
    core::duration store_served_{ 0 };
    peer_message pending_;
    std::size_t next_ip_{ 0 };
    mutable std::uint64_t asked_{ 0 };
    std::unique_ptr<ports::scheduled_call> flush_call_;
    std::unique_ptr<ports::scheduled_call> beat_call_;
    std::vector<std::unique_ptr<ports::scheduled_call>> repeats_;
};

}

#endif
