#ifndef POLLENSTREAM_PEERS_PEER_MESSAGE_HPP
#define POLLENSTREAM_PEERS_PEER_MESSAGE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/request_content.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::peers
{

/// A target that the sender keeps away from for some time.
struct ejected_target
{
    exchange::target_ref target;
    std::int64_t time_ms{ 0 };
};

/// A target that has failed a request of the sender.
struct failed_target
{
    exchange::target_ref target;
    exchange::target_failure how{ exchange::target_failure::failed };
};

/// What the sender believes of a target's limit.
struct told_limit
{
    exchange::target_ref target;
    std::optional<double> per_second; ///< nothing: the target names none
    std::int64_t sent_age_ms{ 0 };    ///< of the request whose answer said so
    std::int64_t heard_age_ms{ 0 };   ///< of that answer
    /// Of requests that the sender has lately sent there and told nobody.
    std::vector<std::int64_t> sent_ages_ms;
};

/// A run that broke off at a target that may have ended by it.
struct told_crash
{
    exchange::content_id content;
    exchange::target_ref target;
    std::int64_t age_ms{ 0 }; ///< since the break was seen
};

/// An instance that the sender has not heard for long.
struct silent_instance
{
    core::instance_id id;
    core::incarnation incarnation;
};

/// What became of an ask.
enum class ask_decision : std::uint8_t
{
    granted,
    refused,
    queued,    ///< no room now; an answer follows
    not_ready, ///< the sender cannot place it; others may
};

/// Answer to an ask of the receiver.
struct placement_answer
{
    std::uint64_t serial{ 0 };
    ask_decision decision{ ask_decision::queued };
    std::vector<exchange::work_part> parts; ///< granted
    double first_event_ms{ 0 };             ///< predicted; granted
    bool needs_reservation{ false };        ///< granted
    exchange::choice_basis basis;           ///< granted
    std::int64_t waiting{ 0 };              ///< asks that wait there; queued
    std::string reason;                     ///< refused
    std::int64_t retry_after_ms{ 0 };       ///< refused; zero: no use
    bool is_suspect{ false };               ///< its content; granted
};

/// One datagram between instances. Most say only what has changed; from time
/// to time one says all of the sender's open work, which repairs what lost
/// datagrams left wrong.
struct peer_message
{
    core::instance_id sender;
    core::incarnation incarnation;    ///< of the sender's process
    std::string ip;                   ///< of the sender
    core::data_centre_id data_centre; ///< of the sender
    std::string callers;              ///< where callers reach the sender
    ports::store_revision known_until;
    std::int64_t capacity{ 0 };  ///< thousandths of a core that it may use
    std::int64_t uptime_ms{ 0 }; ///< of the sender's process
    bool ready{ false };         ///< callers may be sent to it
    bool leaving{ false };       ///< it is about to stop
    bool complete{ false };      ///< `work` is all of the sender's open work
    std::vector<exchange::open_work> work;
    std::vector<std::uint64_t> prefill_ended;
    std::vector<std::uint64_t> ended;
    std::vector<std::uint64_t> served; ///< ended with the whole answer
    /// Asks of the sender that are not decided; where `complete`, all of them.
    std::vector<std::uint64_t> undecided;
    std::vector<exchange::placement_request>
        placement_requests;                ///< to the receiver
    std::vector<placement_answer> answers; ///< to the receiver
    std::vector<failed_target> failed;
    /// Targets that have said in answers that they leave.
    std::vector<exchange::target_ref> leaving_targets;
    std::vector<told_limit> limits;
    std::vector<told_crash> crashes;
    /// Contents that end their targets; `crashes` has their runs.
    std::vector<exchange::content_id> quarantined;
    /// Contents that were under suspicion and have been served.
    std::vector<exchange::content_id> cleared;
    std::vector<silent_instance> silent;
    std::vector<ejected_target> ejected;
    std::vector<std::string> known_ips; ///< some other instances
    /// Time since the store answered the sender.
    std::int64_t store_age_ms{ 0 };
    /// For how long the store has served the sender without a break.
    std::int64_t store_served_ms{ 0 };
    std::string update; ///< changes of records as `encode_update` writes them
};

/// CBOR, by the JSON library.
auto encode( peer_message const& message ) -> std::string;
/// Error `malformed` for anything that `encode` cannot have written.
auto decode( std::string_view bytes ) -> core::result<peer_message>;

}

#endif
