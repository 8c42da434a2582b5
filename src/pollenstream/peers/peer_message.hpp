#ifndef POLLENSTREAM_PEERS_PEER_MESSAGE_HPP
#define POLLENSTREAM_PEERS_PEER_MESSAGE_HPP

#include <pollenstream/core/error.hpp>
#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/target_board.hpp>
#include <pollenstream/ports/record_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstream::peers
{

/// A target that the sender keeps away from for some time.
struct shunned_target
{
    exchange::target_ref target;
    std::int64_t time_ms{ 0 };
};

/// One datagram between instances. Most say only what has changed; from time
/// to time one says all of the sender's open work, which repairs what lost
/// datagrams left wrong.
struct peer_message
{
    core::instance_id sender;
    core::incarnation incarnation; ///< of the sender's process
    std::string ip;                ///< of the sender
    core::place_id place;          ///< of the sender
    std::string callers;           ///< where callers reach the sender
    ports::store_revision known_until;
    bool ready{ false };    ///< callers may be sent to it
    bool leaving{ false };  ///< it is about to stop
    bool complete{ false }; ///< `work` is all of the sender's open work
    std::vector<exchange::open_work> work;
    std::vector<std::uint64_t> reading_ended;
    std::vector<std::uint64_t> ended;
    std::vector<shunned_target> shunned;
    std::vector<std::string> known_ips; ///< some other instances
    /// Time since the store answered the sender.
    std::int64_t store_age_ms{ 0 };
    /// For how long the store has served the sender without a break.
    std::int64_t store_served_ms{ 0 };
    std::int64_t wide_waiting{ 0 }; ///< wide prompts that wait at the sender
    /// Time until the first of these that is not late has to have its first
    /// event.
    std::optional<std::int64_t> wide_due_ms;
    std::string update; ///< changes of records as `encode_update` writes them
};

/// CBOR, by the JSON library.
auto encode( peer_message const& message ) -> std::string;
/// Error `malformed` for anything that `encode` cannot have written.
auto decode( std::string_view bytes ) -> core::result<peer_message>;

}

#endif
