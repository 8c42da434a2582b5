#ifndef POLLENSTREAM_PEERS_PEER_MESSAGE_HPP
#define POLLENSTREAM_PEERS_PEER_MESSAGE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/load_table.hpp>
#include <pollenstream/exchange/placement_client.hpp>
#include <pollenstream/exchange/suspect.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::peers
{

/// A target that the sender has ejected.
struct ejected_target
{
    exchange::target_ref target;
    std::int64_t duration_ms{ 0 };
};

/// A target that has failed an attempt of the sender.
struct failed_target
{
    exchange::target_ref target;
    exchange::target_failure failure{ exchange::target_failure::failed };
};

/// What the sender knows of a target's limit, and which requests count against
/// it.
struct limit_update
{
    exchange::target_ref target;
    std::optional<double> per_second; ///< empty: the target reports no limit
    /// Age of the request whose answer reported the limit.
    std::int64_t request_age_ms{ 0 };
    std::int64_t answer_age_ms{ 0 }; ///< age of that answer
    /// Ages of recent requests of the sender to the target that it has reported
    /// to no other instance.
    std::vector<std::int64_t> unreported_ages_ms;
};

/// An attempt that broke off at a target, which it may have crashed.
struct crash_update
{
    exchange::suspect_list suspects;
    exchange::target_ref target;
    std::int64_t age_ms{ 0 }; ///< since the attempt was seen to break off
};

/// Suspects whose requests the sender does not send, with the crashes that
/// prove it.
struct quarantine_update
{
    struct crash
    {
        exchange::target_ref target;
        std::int64_t age_ms{ 0 };
    };

    exchange::suspect_list suspects;
    std::vector<crash> crashes;
    std::int64_t trial_step{ 0 };   ///< see `exchange::trial_schedule`
    std::int64_t trial_age_ms{ 0 }; ///< since that step began
    bool has_crash_times{ true };   ///< false: ages are those of a record
};

/// An instance from which the sender has received nothing for too long.
struct silent_instance
{
    core::instance_id id;
    core::incarnation incarnation;
    std::int64_t unheard_ms{ 0 }; ///< since the sender last heard it
};

/// The decision on a placement request.
enum class placement_decision : std::uint8_t
{
    granted,
    refused,
    queued,    ///< no capacity now; another answer follows
    not_ready, ///< this coordinator cannot place it, another one may
};

/// Answer to a placement request of the receiver. The comments name the
/// decision for which a member is set.
struct placement_answer
{
    std::uint64_t serial{ 0 }; ///< of the placement request; always set
    placement_decision decision{ placement_decision::queued }; ///< always set
    std::vector<exchange::work_part> parts;                    ///< granted
    double first_event_ms{ 0 }; ///< granted: predicted time to the first event
    bool needs_reservation{ false };  ///< granted
    exchange::choice_basis basis;     ///< granted
    std::int64_t waiting{ 0 };        ///< queued: requests that wait there
    std::string reason;               ///< refused
    std::int64_t retry_after_ms{ 0 }; ///< refused; 0: a retry is no use
    bool is_suspect{ false };         ///< granted: the content is suspect
    bool is_trial{ false };           ///< granted: although quarantined
};

/// One datagram between instances. Most datagrams contain only what has
/// changed. The complete ones, which are sent periodically, contain all of the
/// sender's open work and correct what lost datagrams have left wrong.
struct peer_message
{
    core::instance_id sender;
    core::incarnation incarnation;    ///< of the sender's process
    std::string ip;                   ///< of the sender
    core::data_centre_id data_centre; ///< of the sender
    std::string callers;              ///< address of the sender for callers
    /// With it the sender takes requests over; none where it is left out.
    core::handover_key handover_key;
    /// Store revision up to which the sender knows all changes.
    ports::store_revision known_until;
    std::int64_t capacity{ 0 };  ///< thousandths of a core that it may use
    std::int64_t uptime_ms{ 0 }; ///< of the sender's process
    bool ready{ false };         ///< callers may be directed to the sender
    bool leaving{ false };       ///< the sender is about to stop
    /// The sender reaches no target, while other instances do.
    bool cut_from_targets{ false };
    /// Time since a target last answered any instance, as known to the sender.
    std::int64_t answered_age_ms{ 0 };
    bool complete{ false }; ///< `work` is all of the sender's open work
    std::vector<exchange::open_work> work;
    /// Serials of the sender's work whose prefill has ended.
    std::vector<std::uint64_t> prefill_ended;
    /// Serials of the sender's work that has ended without a whole answer, and
    /// of placement requests that it has withdrawn or whose grant it gives
    /// back.
    std::vector<std::uint64_t> ended;
    /// Serials of the sender's work that has ended with the whole answer.
    std::vector<std::uint64_t> served;
    /// Serials of all placement requests of the sender that are not decided;
    /// only in a complete datagram.
    std::vector<std::uint64_t> undecided;
    std::vector<exchange::placement_request>
        placement_requests;                ///< for the receiver to decide
    std::vector<placement_answer> answers; ///< to the receiver's requests
    std::vector<failed_target> failed;
    /// Targets that have announced in answers to the sender that they leave.
    std::vector<exchange::target_ref> leaving_targets;
    std::vector<limit_update> limits;
    std::vector<crash_update> crashes;
    std::vector<quarantine_update> quarantined;
    /// Suspects of requests that have been served.
    exchange::suspect_list cleared;
    std::vector<silent_instance> silent;
    std::vector<ejected_target> ejected;
    std::vector<std::string> known_ips; ///< of some other instances
    /// Time since the store last answered the sender.
    std::int64_t store_age_ms{ 0 };
    /// For how long the store has served the sender without interruption.
    std::int64_t store_served_ms{ 0 };
    std::string update; ///< changes of records, from `encode_update`
};

/// Encodes a message as CBOR.
auto encode( peer_message const& message ) -> std::string;
/// Returns the error `malformed` for bytes that `encode` cannot have written,
/// also for a message of another layout.
auto decode( std::string_view bytes ) -> core::result<peer_message>;

}

#endif
